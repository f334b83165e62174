package backend

import (
	"errors"
	"net/http"
	"net/url"
	"strings"
)

// ErrKeyInPath says that the caller's key is part of the path, from which it
// cannot be removed.
var ErrKeyInPath = errors.New("the path contains the key")

// StripKey removes the caller's key wherever it occurs: the Authorization
// header, every header value that repeats the key, and the query parameters
// that contain it. It returns the URI without the key. Only the digest of the
// key is known here, so isKey is called for each part of a value.
func StripKey(h http.Header, uri string, isKey func(string) bool) (string, error) {
	h.Del("Authorization")
	for name, values := range h {
		kept := values[:0:0]
		for _, v := range values {
			if !containsKey(v, isKey) {
				kept = append(kept, v)
			}
		}
		if len(kept) == 0 {
			delete(h, name)
		} else if len(kept) < len(values) {
			h[name] = kept
		}
		if containsKey(name, func(s string) bool { return isKey(s) || isKey(strings.ToLower(s)) }) {
			delete(h, name)
		}
	}
	path, query, found := strings.Cut(uri, "?")
	if containsKey(path, isKey) {
		return "", ErrKeyInPath
	}
	if !found {
		return uri, nil
	}
	var params []string
	for param := range strings.SplitSeq(query, "&") {
		if !containsKey(param, isKey) {
			params = append(params, param)
		}
	}
	if len(params) == 0 {
		return path, nil
	}
	return path + "?" + strings.Join(params, "&"), nil
}

// containsKey reports whether the value, one of its parts, or one of the parts
// of its percent-decoded form is the key.
func containsKey(value string, isKey func(string) bool) bool {
	if partIsKey(value, isKey) {
		return true
	}
	if !strings.ContainsAny(value, "%+") {
		return false
	}
	for _, decode := range []func(string) (string, error){url.QueryUnescape, url.PathUnescape} {
		if decoded, err := decode(value); err == nil && partIsKey(decoded, isKey) {
			return true
		}
	}
	return false
}

// delimiters are sets of characters that separate the parts of a value, from
// few to many, since a key may itself contain the later ones.
var delimiters = []string{" \t,;&\"'", " \t,;&\"'/:?", " \t,;&\"'/:?="}

func partIsKey(value string, isKey func(string) bool) bool {
	if value == "" {
		return false
	}
	if isKey(value) {
		return true
	}
	for _, set := range delimiters {
		for part := range strings.FieldsFuncSeq(value, func(r rune) bool { return strings.ContainsRune(set, r) }) {
			if isKey(part) {
				return true
			}
			// "name=value" with a value that ends in "=".
			if _, after, ok := strings.Cut(part, "="); ok && isKey(after) {
				return true
			}
		}
	}
	return false
}
