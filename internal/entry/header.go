package entry

import (
	"net/http"
	"strings"

	"trefoilstream.example/trefoilstream/internal/ingress"
)

// forwardedHeader returns the headers for the backend server: those of the
// caller without hop-by-hop headers, the caller's key, the proxy's own headers
// and Request-Timeout, which the owner sets to the remaining time.
func forwardedHeader(in http.Header, id string) http.Header {
	out := in.Clone()
	ingress.DropHopHeaders(out)
	out.Del("Authorization")
	out.Del("Request-Timeout")
	for name := range out {
		if ownHeader(name) {
			delete(out, name)
		}
	}
	out.Set(headerPrefix+"Request-Id", id)
	return out
}

// ownHeader reports whether a backend server could take the name for one of the
// proxy's own headers. Many servers treat "_" like "-".
func ownHeader(name string) bool {
	return len(name) >= len(headerPrefix) &&
		strings.EqualFold(strings.ReplaceAll(name[:len(headerPrefix)], "_", "-"), headerPrefix)
}

// copyResponseHeader copies the headers of a backend server's response, without
// hop-by-hop headers and the proxy's own headers.
func copyResponseHeader(dst, src http.Header) {
	clean := src.Clone()
	ingress.DropHopHeaders(clean)
	for name, values := range clean {
		if !ownHeader(name) {
			dst[http.CanonicalHeaderKey(name)] = values
		}
	}
}
