package routing

import (
	"errors"
	"net/url"
	"strings"
)

// MaxPathBytes limits the escaped path of a request.
const MaxPathBytes = 4096

// The errors of CleanPath.
var (
	ErrPathSyntax    = errors.New("the path is malformed")
	ErrPathLength    = errors.New("the path is too long")
	ErrPathAmbiguous = errors.New("the path can be read in more than one way")
)

// CleanPath decodes the escaped path of a request for Match. It rejects paths
// that a backend server could normalize to a path other than the matched one,
// because the request would then run on a route that its team may not use: dot
// segments, empty segments, encoded slashes and backslashes, and path
// parameters after dot segments. It returns ErrPathSyntax, ErrPathLength or
// ErrPathAmbiguous.
func CleanPath(escaped string) (string, error) {
	if len(escaped) > MaxPathBytes {
		return "", ErrPathLength
	}
	if escaped == "" || escaped[0] != '/' {
		return "", ErrPathSyntax
	}
	path := escaped
	if strings.IndexByte(escaped, '%') >= 0 {
		if hasEscapedSlash(escaped) {
			return "", ErrPathAmbiguous
		}
		var err error
		if path, err = url.PathUnescape(escaped); err != nil {
			return "", ErrPathSyntax
		}
		// A second decoding by a backend server must not change the path.
		if again, err := url.PathUnescape(path); err == nil && again != path {
			return "", ErrPathAmbiguous
		}
	}
	for i := 0; i < len(path); i++ {
		if path[i] < 0x20 || path[i] == 0x7f {
			return "", ErrPathSyntax
		}
		if path[i] == '\\' {
			return "", ErrPathAmbiguous
		}
	}
	if ambiguousSegments(path) {
		return "", ErrPathAmbiguous
	}
	return path, nil
}

func hasEscapedSlash(s string) bool {
	for i := 0; i+2 < len(s); i++ {
		if s[i] == '%' && s[i+1] == '2' && (s[i+2] == 'f' || s[i+2] == 'F') {
			return true
		}
	}
	return false
}

// ambiguousSegments reports whether the path has dot segments or, other than the
// last, empty segments.
func ambiguousSegments(path string) bool {
	rest := path[1:]
	for {
		segment, after, more := strings.Cut(rest, "/")
		name, _, _ := strings.Cut(segment, ";")
		if name == "." || name == ".." || (more && name == "") {
			return true
		}
		if !more {
			return false
		}
		rest = after
	}
}
