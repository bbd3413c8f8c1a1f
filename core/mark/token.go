package mark

import (
	"hash/crc32"
	"strconv"
	"strings"

	"anviltack/core"
)

// The bounds of a token.
const (
	MaxTokenBytes  = 2048
	maxNameBytes   = 63
	tokenPrefix    = "1:"
	checksumDigits = 8
)

// String returns the marks as a token: "1:", then GROUP@TERM.POSITION of each
// group in order with commas between, ":" and a CRC-32 of all before it in
// hexadecimal. A group whose name a token cannot hold is left out, so reads of it in the
// next session must be fresh as of the start of that session.
func (m *Marks) String() string {
	b := make([]byte, 0, len(tokenPrefix)+len(m.entries)*24+checksumDigits+1)
	return string(m.Append(b))
}

// Append appends the token to b.
func (m *Marks) Append(b []byte) []byte {
	start := len(b)
	b = append(b, tokenPrefix...)
	first := true
	for _, e := range m.entries {
		if !isTokenName(string(e.group)) {
			continue
		}
		if !first {
			b = append(b, ',')
		}
		first = false
		b = append(b, e.group...)
		b = append(b, '@')
		b = strconv.AppendUint(b, e.point.Term, 10)
		b = append(b, '.')
		b = strconv.AppendUint(b, e.point.Position, 10)
	}
	b = append(b, ':')
	return appendChecksum(b, crc32.ChecksumIEEE(b[start:]))
}

func appendChecksum(b []byte, sum uint32) []byte {
	const digits = "0123456789abcdef"
	for shift := 28; shift >= 0; shift -= 4 {
		b = append(b, digits[sum>>shift&0xf])
	}
	return b
}

func isTokenName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (c < '0' || c > '9') && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}

func badMark(format string, args ...any) error {
	return core.NewError(core.CodeBadMark, "mark: "+format, args...)
}

// parse parses a token and accepts only the exact form that String writes; an empty
// token holds no marks.
func parse(s string) ([]entry, error) {
	if s == "" {
		return nil, nil
	}
	if len(s) > MaxTokenBytes {
		return nil, badMark("longer than %d bytes", MaxTokenBytes)
	}
	rest, ok := strings.CutPrefix(s, tokenPrefix)
	if !ok {
		return nil, badMark("unknown version")
	}
	body, checksum, ok := strings.Cut(rest, ":")
	if !ok {
		return nil, badMark("no checksum")
	}
	head := []byte(s[:len(s)-len(checksum)])
	if string(appendChecksum(nil, crc32.ChecksumIEEE(head))) != checksum {
		return nil, badMark("checksum mismatch")
	}
	if body == "" {
		return nil, nil
	}
	return parseEntries(strings.Split(body, ","))
}

func parseEntries(parts []string) ([]entry, error) {
	if len(parts) > MaxGroups {
		return nil, badMark("more than %d groups", MaxGroups)
	}
	entries := make([]entry, 0, len(parts))
	for i, part := range parts {
		name, text, ok := strings.Cut(part, "@")
		if !ok || !isTokenName(name) {
			return nil, badMark("group %d has an invalid name", i+1)
		}
		p, err := core.ParsePoint(text)
		if err != nil || p.String() != text {
			return nil, badMark("group %d has an invalid point", i+1)
		}
		if i > 0 && string(entries[i-1].group) >= name {
			return nil, badMark("groups are not in order")
		}
		entries = append(entries, entry{group: core.Group(name), point: p})
	}
	return entries, nil
}
