package httphead

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// Transport is an http.RoundTripper that fails with an error that wraps ErrMalformed if a
// response is malformed. The connection of such a response is not used again.
type Transport struct {
	Base *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	interim := &httptrace.ClientTrace{Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { return CheckFields(http.Header(h)) }}
	resp, err := t.Base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), interim)))
	if err != nil {
		return nil, err
	}
	// The end of a response returns its connection to the pool, which cannot be told to
	// close this one alone.
	if err := Check(resp); err != nil {
		_ = resp.Body.Close()
		t.Base.CloseIdleConnections()
		return nil, err
	}
	if b, ok := resp.Body.(*trailerBody); ok {
		b.onMalformed = t.Base.CloseIdleConnections
	}
	return resp, nil
}
