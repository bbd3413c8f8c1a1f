package caller

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"anviltack/core"
)

// maxMessageBytes is the message limit in testdata/receive.
const maxMessageBytes = 64

// TestReceive decodes messages given in hexadecimal; white space is ignored.
func TestReceive(t *testing.T) {
	datadriven.RunTest(t, "testdata/receive", func(t *testing.T, d *datadriven.TestData) string {
		raw, err := hex.DecodeString(strings.Join(strings.Fields(d.Input), ""))
		if err != nil {
			t.Fatal(err)
		}
		r := newReceiver(bytes.NewReader(raw), maxMessageBytes)
		var b strings.Builder
		for {
			m, err := r.next()
			var e *core.Error
			if errors.As(err, &e) {
				fmt.Fprintln(&b, e)
				return b.String()
			}
			if err != nil {
				fmt.Fprintln(&b, "end")
				return b.String()
			}
			fmt.Fprintf(&b, "%T\n", m)
		}
	})
}

// FuzzReceive checks that no input makes the receiver panic or loop endlessly.
func FuzzReceive(f *testing.F) {
	f.Add([]byte("Q\x00\x00\x00\x05\x00"))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		r := newReceiver(bytes.NewReader(raw), maxMessageBytes)
		for {
			if _, err := r.next(); err != nil {
				return
			}
		}
	})
}
