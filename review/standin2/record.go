package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, with the time since the start.
var record struct {
	sync.Mutex
	file  *os.File
	start time.Time
}

func openRecord() {
	record.start = time.Now()
	path := os.Getenv("RECORD")
	if path == "" {
		return
	}
	f, err := os.Create(path)
	check(err)
	record.file = f
}

// note writes a line to the record and to the standard output.
func note(format string, a ...any) {
	record.Lock()
	defer record.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(record.start).Seconds(), fmt.Sprintf(format, a...))
	fmt.Print(line)
	if record.file != nil {
		_, _ = record.file.WriteString(line)
	}
}

// verdict notes the outcome and returns the exit status.
func verdict(broken bool, format string, a ...any) int {
	if broken {
		note("BROKEN: "+format, a...)
		return 1
	}
	note("held: "+format, a...)
	return 0
}

// verdictNone notes that the case could not run and returns the exit status.
func verdictNone(reason string) int {
	note("could not run: %s", reason)
	return 2
}
