package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/routing"
)

// Limits of the head of a request. A head within them fits into one frame to
// the owner and is accepted by common backend servers.
const (
	maxHeaderBytes = 32 << 10
	maxHeaders     = 128
	maxURIBytes    = 8 << 10
	// maxKeyBytes bounds a team's key in the Authorization header.
	maxKeyBytes            = 512
	maxIdempotencyKeyBytes = 255
)

// singleHeaders must not be repeated: the proxy and a backend server might each
// use a different value.
var singleHeaders = []string{"Authorization", "Idempotency-Key", "Request-Timeout", "Content-Type", "Range"}

// checkHead rejects a malformed head and returns the path for the route
// match. The HTTP server has already rejected differing Content-Length
// headers, unknown transfer codings and repeated or malformed Host headers.
func checkHead(r *http.Request) (string, error) {
	if len(r.RequestURI) > maxURIBytes {
		return "", errkind.Errorf(errkind.BadRequest, "request target exceeds %d bytes", maxURIBytes)
	}
	size, count := 0, 0
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
			count++
			if !httpguts.ValidHeaderFieldValue(v) {
				return "", errkind.Errorf(errkind.BadRequest, "header %s has control characters", name)
			}
		}
	}
	if size > maxHeaderBytes || count > maxHeaders {
		return "", errkind.Errorf(errkind.BadRequest, "request has more than %d headers or %d bytes of headers", maxHeaders, maxHeaderBytes)
	}
	for _, name := range singleHeaders {
		if len(r.Header.Values(name)) > 1 {
			return "", errkind.Errorf(errkind.BadRequest, "header %s is repeated", name)
		}
	}
	if r.Host == "" && r.ProtoAtLeast(1, 1) {
		return "", errkind.Errorf(errkind.BadRequest, "request has no Host header")
	}
	path, err := routing.CleanPath(r.URL.EscapedPath())
	if err != nil {
		return "", errkind.Errorf(errkind.BadRequest, "%w", err)
	}
	return path, nil
}

// authorize looks up the caller's key and sets the team of the request.
func authorize(cfg *document.Snapshot, r *http.Request, req *Request) error {
	if req.Route.Open {
		return nil
	}
	scheme, secret, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || secret == "" {
		return errkind.Errorf(errkind.MissingKey, "request has no bearer key")
	}
	if len(secret) > maxKeyBytes || !printable(secret) {
		return errkind.Errorf(errkind.UnknownKey, "key is malformed")
	}
	digest := sha256.Sum256([]byte(secret))
	key, ok := cfg.KeyByDigest(hex.EncodeToString(digest[:]))
	if !ok {
		return errkind.Errorf(errkind.UnknownKey, "key is unknown or withdrawn")
	}
	if !req.Route.Allows(key.Team) {
		return errkind.Errorf(errkind.NotPermitted, "team %s may not use route %s", key.Team, req.Route.ID)
	}
	req.Team, req.KeyDigest = key.Team, digest[:]
	return nil
}

// printable reports whether the text has only ASCII characters from '!' to
// '~'.
func printable(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// idempotencyKey returns the key of a request on a non-idempotent route.
func idempotencyKey(r *http.Request, route document.Route) (string, error) {
	if route.Idempotent {
		return "", nil
	}
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		return "", errkind.Errorf(errkind.IdempotencyKeyMissing, "route %s is not idempotent and requires an Idempotency-Key", route.ID)
	}
	if len(key) > maxIdempotencyKeyBytes || !printable(key) {
		return "", errkind.Errorf(errkind.IdempotencyKeyInvalid, "Idempotency-Key must have 1 to %d printable ASCII characters", maxIdempotencyKeyBytes)
	}
	return key, nil
}

// timeLimit returns the timeout of the request: the value of the header
// Request-Timeout, at most the time limit of the route.
func timeLimit(r *http.Request, route document.Route) (time.Duration, error) {
	text := r.Header.Get("Request-Timeout")
	if _, present := r.Header["Request-Timeout"]; !present {
		return route.TimeLimit(), nil
	}
	bad := errkind.Errorf(errkind.BadRequest, "Request-Timeout is not a positive decimal number of seconds")
	// ParseFloat also accepts signs, exponents, hexadecimal numbers, "Inf" and
	// "NaN".
	if text == "" || len(text) > 20 || strings.Trim(text, "0123456789.") != "" {
		return 0, bad
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || seconds <= 0 {
		return 0, bad
	}
	limit := route.TimeLimit()
	if seconds < limit.Seconds() {
		limit = time.Duration(seconds * float64(time.Second))
	}
	return limit, nil
}
