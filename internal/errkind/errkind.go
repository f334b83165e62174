// Package errkind defines the fixed set of error kinds of the fleet and maps each
// kind to the response that a caller or operator receives.
package errkind

import (
	"errors"
	"fmt"
	"net/http"
	"sort"
	"time"
)

// Kind is the reason for a refusal or failure.
type Kind string

// Kinds in responses to callers.
const (
	MissingKey             Kind = "missing_key"
	UnknownKey             Kind = "unknown_key"
	NoRoute                Kind = "no_route"
	NotPermitted           Kind = "not_permitted"
	BadRequest             Kind = "bad_request"
	BodyTooLarge           Kind = "body_too_large"
	IdempotencyKeyMissing  Kind = "idempotency_key_missing"
	IdempotencyKeyInvalid  Kind = "idempotency_key_invalid"
	IdempotencyKeyReused   Kind = "idempotency_key_reused"
	IdempotencyKeyExpired  Kind = "idempotency_key_expired"
	InProgress             Kind = "in_progress"
	ResultUnknown          Kind = "result_unknown"
	ResultNotKept          Kind = "result_not_kept"
	RateLimited            Kind = "rate_limited"
	Overloaded             Kind = "overloaded"
	NoServer               Kind = "no_server"
	StaleConfiguration     Kind = "stale_configuration"
	Stopping               Kind = "stopping"
	QuarantinedRequest     Kind = "quarantined_request"
	DeadlineExceededQueued Kind = "deadline_exceeded_queued"
	DeadlineExceeded       Kind = "deadline_exceeded"
	BackendFailed          Kind = "backend_failed"
	PeerLost               Kind = "peer_lost"
	ClaimUnavailable       Kind = "claim_unavailable"
	Internal               Kind = "internal"
	RequestTimeout         Kind = "request_timeout"
	HeadTooLarge           Kind = "head_too_large"
	InstanceFull           Kind = "instance_full"
	Isolated               Kind = "isolated"
)

// Kinds in responses of the administration API.
const (
	Conflict        Kind = "conflict"
	InvalidDocument Kind = "invalid_document"
	LogUnavailable  Kind = "log_unavailable"
	LogUnknown      Kind = "log_unknown"
	Unauthorized    Kind = "unauthorized"
)

// Outcome tells whether a request may have run on a backend server.
type Outcome string

// Outcomes of a request that the fleet responded to itself. NotRun guarantees
// that the request did not run; with Unknown it may have run.
const (
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// Definition describes the response for a kind.
type Definition struct {
	Status  int
	Outcome Outcome
	// RetryAfter is the default value of the Retry-After header; if it is zero,
	// the header is not sent.
	RetryAfter time.Duration
	// Meaning is one sentence for callers and operators.
	Meaning string
	// Remedy is one sentence on what they can do about it.
	Remedy string
}

var definitions = map[Kind]Definition{
	MissingKey:             {http.StatusUnauthorized, NotRun, 0, "The request carries no key.", "Send Authorization: Bearer KEY."},
	UnknownKey:             {http.StatusUnauthorized, NotRun, 0, "The key is unknown or withdrawn.", "Ask the operators for a valid key."},
	NoRoute:                {http.StatusNotFound, NotRun, 0, "No route matches the method and path.", "Check the path against the configuration."},
	NotPermitted:           {http.StatusForbidden, NotRun, 0, "The team may not use this route.", "Ask the operators to add the team to the route."},
	BadRequest:             {http.StatusBadRequest, NotRun, 0, "The request is malformed.", "Correct the request."},
	BodyTooLarge:           {http.StatusRequestEntityTooLarge, NotRun, 0, "The body exceeds the limit of the route.", "Send a smaller body."},
	IdempotencyKeyMissing:  {http.StatusBadRequest, NotRun, 0, "The route is not idempotent and the request has no Idempotency-Key.", "Send a UUIDv7 as Idempotency-Key."},
	IdempotencyKeyInvalid:  {http.StatusBadRequest, NotRun, 0, "The Idempotency-Key is malformed or lies in the future.", "Send a UUIDv7 made with a correct clock."},
	IdempotencyKeyReused:   {http.StatusUnprocessableEntity, NotRun, 0, "The Idempotency-Key was used with a different request.", "Use a new key for a new request."},
	IdempotencyKeyExpired:  {http.StatusConflict, Unknown, 0, "The Idempotency-Key is older than the retention of claims.", "Look up whether the work was done before sending a new key."},
	InProgress:             {http.StatusConflict, Unknown, time.Second, "The first request with this Idempotency-Key is still running.", "Send the same request again later."},
	ResultUnknown:          {http.StatusConflict, Unknown, 0, "It is not known whether the request with this Idempotency-Key ran.", "Look up whether the work was done before sending a new key."},
	ResultNotKept:          {http.StatusConflict, Unknown, 0, "The request ran, but its answer was too large to keep.", "Look up the result of the work."},
	RateLimited:            {http.StatusTooManyRequests, NotRun, time.Second, "The team's rate is used up.", "Wait for the time in Retry-After."},
	Overloaded:             {http.StatusServiceUnavailable, NotRun, time.Second, "All slots and queues of the service are full.", "Wait for the time in Retry-After."},
	NoServer:               {http.StatusServiceUnavailable, NotRun, time.Second, "No backend server of the service can be reached.", "Wait for the time in Retry-After."},
	StaleConfiguration:     {http.StatusServiceUnavailable, NotRun, time.Second, "The instance cannot confirm that its configuration is current.", "Send the request again; another instance may answer it."},
	Stopping:               {http.StatusServiceUnavailable, NotRun, time.Second, "The instance is stopping.", "Send the request again; another instance will answer it."},
	QuarantinedRequest:     {http.StatusUnprocessableEntity, NotRun, 0, "The same request made two backend servers fail.", "Do not send it again; ask the operators."},
	DeadlineExceededQueued: {http.StatusGatewayTimeout, NotRun, 0, "The deadline passed before the request was sent to a backend server.", "Allow more time or send the request later."},
	DeadlineExceeded:       {http.StatusGatewayTimeout, Unknown, 0, "The deadline passed while the backend server worked.", "Send the same Idempotency-Key again to learn the result."},
	BackendFailed:          {http.StatusBadGateway, Unknown, 0, "The backend server failed after it received the request.", "Send the same Idempotency-Key again to learn the result."},
	PeerLost:               {http.StatusBadGateway, Unknown, 0, "The connection to the owner instance broke after the request was forwarded.", "Send the same Idempotency-Key again to learn the result."},
	ClaimUnavailable:       {http.StatusServiceUnavailable, NotRun, time.Second, "The claim on the Idempotency-Key could not be recorded.", "Wait for the time in Retry-After."},
	Internal:               {http.StatusInternalServerError, Unknown, 0, "The instance met an unexpected error.", "Report the request identifier to the operators."},
	RequestTimeout:         {http.StatusRequestTimeout, NotRun, 0, "The request was not received in time.", "Send the request again, faster."},
	HeadTooLarge:           {http.StatusRequestHeaderFieldsTooLarge, NotRun, 0, "The headers exceed the limit.", "Send smaller headers."},
	InstanceFull:           {http.StatusServiceUnavailable, NotRun, 300 * time.Millisecond, "The instance has no memory or no connection left for the request.", "Wait for the time in Retry-After; another instance may have more."},
	Isolated:               {http.StatusServiceUnavailable, NotRun, 300 * time.Millisecond, "The instance is cut off from most of the fleet and from the store.", "Send the request again; another instance may answer it."},

	Conflict:        {http.StatusConflict, NotRun, 0, "The parent revision is not the accepted one.", "Read the accepted revision and apply the change to it."},
	InvalidDocument: {http.StatusUnprocessableEntity, NotRun, 0, "The document has errors.", "Correct the listed errors."},
	LogUnavailable:  {http.StatusServiceUnavailable, NotRun, time.Second, "The log service cannot be reached.", "Try again when the log service is back."},
	LogUnknown:      {http.StatusGatewayTimeout, Unknown, 0, "It is not known whether the log service took the record.", "Run the same command again; a record is applied once."},
	Unauthorized:    {http.StatusUnauthorized, NotRun, 0, "The operator key is missing or unknown.", "Send Authorization: Bearer with an operator key."},
}

// Lookup returns the definition of a kind, or that of Internal for an unknown
// kind.
func Lookup(k Kind) Definition {
	if d, ok := definitions[k]; ok {
		return d
	}
	return definitions[Internal]
}

// Valid reports whether k is a defined kind.
func Valid(k Kind) bool {
	_, ok := definitions[k]
	return ok
}

// All returns every kind in alphabetical order.
func All() []Kind {
	kinds := make([]Kind, 0, len(definitions))
	for k := range definitions {
		kinds = append(kinds, k)
	}
	sort.Slice(kinds, func(i, j int) bool { return kinds[i] < kinds[j] })
	return kinds
}

// Error is an error with a kind.
type Error struct {
	Kind Kind
	// Outcome overrides the outcome of the kind if it is not empty.
	Outcome Outcome
	// RetryAfter overrides the default of the kind if it is not zero.
	RetryAfter time.Duration
	Err        error
}

// Errorf returns an error of the given kind; format and args are those of
// fmt.Errorf.
func Errorf(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Err: fmt.Errorf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Kind, e.Err) }

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }

// EffectiveOutcome returns the outcome of the error: the override or that of its
// kind.
func (e *Error) EffectiveOutcome() Outcome {
	if e.Outcome != "" {
		return e.Outcome
	}
	return Lookup(e.Kind).Outcome
}

// From returns the first *Error in err's chain, or one of kind Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Err: err}
}
