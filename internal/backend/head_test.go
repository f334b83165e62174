package backend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// wrongHeads are heads that are no heads of HTTP/1.1 responses, without the empty line
// that ends them. The body is "ok".
var wrongHeads = map[string]string{
	"blank in a name":                 "HTTP/1.1 200 OK\r\nBad Name: 1\r\nContent-Length: 2\r\n",
	"blank before the colon":          "HTTP/1.1 200 OK\r\nName : 1\r\nContent-Length: 2\r\n",
	"blank after Content-Length":      "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
	"blank after Transfer-Encoding":   "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 2\r\n",
	"tab in a name":                   "HTTP/1.1 200 OK\r\nBad\tName: 1\r\nContent-Length: 2\r\n",
	"tab before the colon":            "HTTP/1.1 200 OK\r\nName\t: 1\r\nContent-Length: 2\r\n",
	"NUL in a name":                   "HTTP/1.1 200 OK\r\nBad\x00Name: 1\r\nContent-Length: 2\r\n",
	"carriage return in a name":       "HTTP/1.1 200 OK\r\nBad\rName: 1\r\nContent-Length: 2\r\n",
	"DEL in a name":                   "HTTP/1.1 200 OK\r\nBad\x7fName: 1\r\nContent-Length: 2\r\n",
	"0x01 in a name":                  "HTTP/1.1 200 OK\r\nBad\x01Name: 1\r\nContent-Length: 2\r\n",
	"byte above 0x7f in a name":       "HTTP/1.1 200 OK\r\nB\xe9d: 1\r\nContent-Length: 2\r\n",
	"separator in a name":             "HTTP/1.1 200 OK\r\nBad(Name): 1\r\nContent-Length: 2\r\n",
	"empty name":                      "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 2\r\n",
	"no colon":                        "HTTP/1.1 200 OK\r\nName\r\nContent-Length: 2\r\n",
	"folded first line":               "HTTP/1.1 200 OK\r\n Name: 1\r\nContent-Length: 2\r\n",
	"NUL in a value":                  "HTTP/1.1 200 OK\r\nName: \x00\r\nContent-Length: 2\r\n",
	"carriage return in a value":      "HTTP/1.1 200 OK\r\nName: 1\r2\r\nContent-Length: 2\r\n",
	"DEL in a value":                  "HTTP/1.1 200 OK\r\nName: \x7f\r\nContent-Length: 2\r\n",
	"two carriage returns at the end": "HTTP/1.1 200 OK\r\nName: 1\r\r\nContent-Length: 2\r\n",
	"status 000":                      "HTTP/1.1 000 X\r\nContent-Length: 2\r\n",
	"status 099":                      "HTTP/1.1 099 X\r\nContent-Length: 2\r\n",
	"status +20":                      "HTTP/1.1 +20 X\r\nContent-Length: 2\r\n",
	"status -00":                      "HTTP/1.1 -00 X\r\nContent-Length: 2\r\n",
	"status -20":                      "HTTP/1.1 -20 X\r\nContent-Length: 2\r\n",
	"status of two digits":            "HTTP/1.1 20 X\r\nContent-Length: 2\r\n",
	"status of four digits":           "HTTP/1.1 2000 X\r\nContent-Length: 2\r\n",
	"status of letters":               "HTTP/1.1 2OO X\r\nContent-Length: 2\r\n",
	"status and reason in one":        "HTTP/1.1 200OK\r\nContent-Length: 2\r\n",
	"no status":                       "HTTP/1.1\r\nContent-Length: 2\r\n",
	"version 2.0":                     "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n",
	"version 0.9":                     "HTTP/0.9 200 OK\r\nContent-Length: 2\r\n",
	"version 0.0":                     "HTTP/0.0 200 OK\r\nContent-Length: 2\r\n",
	"version of two digits":           "HTTP/1.11 200 OK\r\nContent-Length: 2\r\n",
	"lower-case protocol":             "http/1.1 200 OK\r\nContent-Length: 2\r\n",
	"HTTP/1.0 and chunked":            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	"HTTP/1.0, chunked and a length":  "HTTP/1.0 200 OK\r\nContent-Length: 2\r\ntransfer-encoding: chunked\r\n",
	"HTTP/1.0, chunked, long head":    "HTTP/1.0 200 OK\r\nA: " + strings.Repeat("x", 10<<10) + "\r\nTransfer-Encoding: chunked\r\n",
	"another protocol":                "ICY 200 OK\r\nContent-Length: 2\r\n",
	"NUL in the reason":               "HTTP/1.1 200 O\x00K\r\nContent-Length: 2\r\n",
	"carriage return in the reason":   "HTTP/1.1 200 O\rK\r\nContent-Length: 2\r\n",
	"sign in the length":              "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n",
	"list as the length":              "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n",
	"chunked and something else":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\nContent-Length: 2\r\n",
}

// raw makes a server that writes the same bytes for each request and closes the connection.
func raw(t *testing.T, response string) *rawServer {
	t.Helper()
	return listen(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
		if s.readRequest(r) {
			_, _ = io.WriteString(c, response)
		}
	})
}

// checkMalformed checks that a response is an error that promises nothing, and that its
// connection is not kept.
func checkMalformed(t *testing.T, name, response string, change func(r *Request)) {
	t.Helper()
	s := raw(t, response)
	c := New()
	r := request(s, true)
	r.UntilClose = true
	change(r)
	body, err := send(t.Context(), c, r)
	if err == nil || errors.Is(err, ErrNotSent) || errors.Is(err, ErrDropped) {
		t.Errorf("%s: body %q, error %v; want an error of a malformed response", name, body, err)
	}
	if n := c.Connections(s.address); n != 0 {
		t.Errorf("%s: %d connections stay open", name, n)
	}
}

// otherFirst matches the first response of a connection to an earlier request.
func otherFirst(r *Request) {
	n := 0
	r.Match = func(http.Header) Match {
		if n++; n == 1 {
			return OtherRequest
		}
		return ThisRequest
	}
}

// Guards against bytes that are taken for a response although they are none, whichever head of
// a connection they are in.
func TestWrongHeadsAreErrors(t *testing.T) {
	unchanged := func(*Request) {}
	for name, head := range wrongHeads {
		checkMalformed(t, name, head+"\r\nok", unchanged)
		checkMalformed(t, name+", another request's", head+"\r\nok"+responseOK, otherFirst)
		checkMalformed(t, name+", of HEAD", head+"\r\n", func(r *Request) { r.Method = http.MethodHead })
		interim := strings.NewReplacer(" 200 OK", " 103 Early Hints").Replace(head)
		checkMalformed(t, name+", interim", interim+"\r\n"+responseOK, unchanged)
	}
}

// Guards against a malformed trailer after a chunked body, with which the end of the response
// is unknown.
func TestWrongTrailersAreErrors(t *testing.T) {
	for name, trailer := range map[string]string{
		"blank in a name":        "Bad Name: 1\r\n",
		"blank before the colon": "Name : 1\r\n",
		"NUL in a name":          "Bad\x00Name: 1\r\n",
		"DEL in a value":         "Name: \x7f\r\n",
		"no colon":               "HTTP/1.1 200 OK\r\n",
	} {
		response := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + trailer + "\r\n"
		checkMalformed(t, name, response, func(*Request) {})
		checkMalformed(t, name+", another request's", response+responseOK, otherFirst)
	}
}

// Guards against losing responses that are unusual, but valid.
func TestUnusualResponsesArrive(t *testing.T) {
	for name, response := range map[string]string{
		"name of all token characters": "HTTP/1.1 200 OK\r\nx!#$%&'*+-.^_`|~1: 1\r\nContent-Length: 2\r\n\r\nok",
		"empty value":                  "HTTP/1.1 200 OK\r\nName:\r\nContent-Length: 2\r\n\r\nok",
		"tab and text in a value":      "HTTP/1.1 200 OK\r\nName:\t\xe9 \t b\t \r\nContent-Length:2\r\n\r\nok",
		"folded value":                 "HTTP/1.1 200 OK\r\nName: 1\r\n 2\r\nContent-Length: 2\r\n\r\nok",
		"line feeds":                   "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
		"trailer":                      "HTTP/1.1 200 OK\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nSum: 1\r\n\r\n",
		"announced trailer is missing": "HTTP/1.1 200 OK\r\nTrailer: Sum, a b\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"interim responses":            "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + responseOK,
		"empty reason":                 "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok",
		"no reason":                    "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
		"reason with text":             "HTTP/1.1 200 \xe9\tb\r\nContent-Length: 2\r\n\r\nok",
		"unassigned status":            "HTTP/1.1 299 X\r\nContent-Length: 2\r\n\r\nok",
		"status without a class":       "HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.0":                     "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.0 without a length":    "HTTP/1.0 200 OK\r\n\r\nok",
		"HTTP/1.0, long head":          "HTTP/1.0 200 OK\r\nA: " + strings.Repeat("x", 10<<10) + "\r\n\r\nok",
		"HTTP/1.0 after an interim":    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\nA: 1\r\n\r\nok",
		"same length twice":            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
	} {
		s := raw(t, response)
		r := request(s, true)
		r.UntilClose = true
		if body, err := send(t.Context(), New(), r); err != nil || body != "ok" {
			t.Errorf("%s: body %q, error %v", name, body, err)
		}
	}
}
