package core

import (
	"net/url"
	"strings"
)

// PathSegment escapes a text as one segment of a URL's path, also one that is a step in a path.
func PathSegment(s string) string {
	if s == "." || s == ".." {
		return strings.ReplaceAll(s, ".", "%2E")
	}
	return url.PathEscape(s)
}
