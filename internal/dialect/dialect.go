// Package dialect defines what the fleet reads from and writes to the HTTP
// headers of callers and backend servers. The platform's implementation of
// Dialect knows the header names.
package dialect

import (
	"net/http"
	"time"
)

// CallerRequest holds what the headers of a caller's request say.
type CallerRequest struct {
	RequestID string
	Key       string
	// Deadline is how long the caller waits; 0 if unset.
	Deadline time.Duration
}

// ServerRequest holds what the headers of a request tell a backend server.
type ServerRequest struct {
	RequestID string
	// Team is empty on routes without keys.
	Team string
	// Server is the ID of the server that the request is intended for.
	Server string
	// Left is the time until the deadline.
	Left time.Duration
}

// ServerResponse holds what the headers of a backend server's response say.
type ServerResponse struct {
	RequestID string
	// Signed responses carry the server's signature.
	Signed bool
	// NotRun means that the server did not run the request.
	NotRun bool
	// RateLimited means that the server takes no more than RateLimit requests per
	// second from all instances together, until a response says otherwise.
	RateLimited bool
	RateLimit   float64
	// Leaving means that the server is about to end and takes no further requests.
	Leaving bool
}

// Dialect reads and writes the headers of one platform.
type Dialect interface {
	// ReadCaller also removes the headers that backend servers must not
	// see, such as the caller's key.
	ReadCaller(h http.Header) CallerRequest
	WriteRequest(h http.Header, r ServerRequest)
	ReadResponse(status int, h http.Header) ServerResponse
}
