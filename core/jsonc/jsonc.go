// Package jsonc parses JSON with comments of a bounded size and depth. The parser beneath calls
// itself for each level, and a stack that is full ends the process.
package jsonc

import (
	"bytes"
	"fmt"

	"github.com/tailscale/hujson"
)

const (
	// MaxBytes is the largest size of a text.
	MaxBytes = 1 << 20
	// MaxDepth is how many objects and arrays may be open at any place of a text.
	MaxDepth = 64
)

// Errors of texts beyond the limits.
var (
	ErrTooLong = fmt.Errorf("jsonc: the text is longer than %d bytes", MaxBytes)
	ErrTooDeep = fmt.Errorf("jsonc: the text is nested more than %d deep", MaxDepth)
)

// Parse parses a text as hujson.Parse does.
func Parse(text []byte) (hujson.Value, error) {
	if err := check(text); err != nil {
		return hujson.Value{}, err
	}
	return hujson.Parse(text)
}

// Standardize returns a text without comments and trailing commas, as hujson.Standardize does.
func Standardize(text []byte) ([]byte, error) {
	if err := check(text); err != nil {
		return nil, err
	}
	return hujson.Standardize(text)
}

func check(text []byte) error {
	if len(text) > MaxBytes {
		return ErrTooLong
	}
	if IsTooDeep(text) {
		return ErrTooDeep
	}
	return nil
}

// IsTooDeep reports whether a text, of which brackets in strings and comments do not count, is
// nested more than MaxDepth deep.
func IsTooDeep(text []byte) bool {
	depth := 0
	for len(text) > 0 {
		length := 1
		switch text[0] {
		case '[', '{':
			if depth++; depth > MaxDepth {
				return true
			}
		case ']', '}':
			depth--
		case '"':
			length = stringLength(text)
		case '/':
			length = commentLength(text)
		}
		text = text[length:]
	}
	return false
}

// stringLength returns the length of the string with which a text begins.
func stringLength(text []byte) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(text)
}

// commentLength returns the length of the comment with which a text begins, 1 without one.
func commentLength(text []byte) int {
	end := "\n"
	switch {
	case bytes.HasPrefix(text, []byte("/*")):
		end = "*/"
	case !bytes.HasPrefix(text, []byte("//")):
		return 1
	}
	i := bytes.Index(text[2:], []byte(end))
	if i < 0 {
		return len(text)
	}
	return 2 + i + len(end)
}
