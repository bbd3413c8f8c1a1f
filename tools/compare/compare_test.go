package main

import (
	"bytes"
	"encoding/json"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// goodReport is a report of the bench, shortened to what is read of it.
const goodReport = `{"G": 0.8, "breaks": {}, "fault": null, "all": {"n": 100, "refused": 3, "late": 2, "failed": 1, "worth": 0.95},
	"zones": [{"name": "a", "worth": 0.9}, {"name": "b", "worth": 0.95}], "classes": [{"name": "k", "worth": 0.94}],
	"windows": [{"name": "0", "worth": 1}, {"name": "2", "worth": 0.5}], "parts": [["whole day", 0.5, 0.9], ["worst zone", 0.5, 0.8]]}`

// TestReport checks what is read of a report.
func TestReport(t *testing.T) {
	is := is.New(t)
	var r report
	is.NoErr(json.Unmarshal([]byte(goodReport), &r))
	is.Equal(r.All.Refused, 3)
	is.Equal(worst(r.Windows), 0.5)
	is.Equal(worst(r.Zones), 0.9)
	is.True(math.Abs(r.prices()-0.05) < 1e-9)
	is.Equal(r.broken(), 0)
	r.Fault = "exit"
	r.Breaks = map[string]any{"ONE": 1}
	is.Equal(r.broken(), 2)
}

// TestPrintPairs checks the mean and the spread of the differences of a day.
func TestPrintPairs(t *testing.T) {
	is := is.New(t)
	play := func(worth float64) report { return report{Worth: worth} }
	var out bytes.Buffer
	printPairs(&out, []pair{
		{day: "d", seed: 1, reports: [2]report{play(0.80), play(0.81)}},
		{day: "d", seed: 2, reports: [2]report{play(0.80), play(0.83)}},
	})
	is.True(strings.Contains(out.String(), "+0.0200"))
	is.True(strings.Contains(out.String(), "± 0.0141"))
}
