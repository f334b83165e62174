package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"

	"trefoilstream.example/trefoilstream/internal/errkind"
)

// Operators are the operators' names by the SHA-256 digest of their keys.
type Operators map[[sha256.Size]byte]string

// ParseOperators reads "name=digest" pairs separated by commas. Digests are in
// lower-case hexadecimal.
func ParseOperators(text string) (Operators, error) {
	ops := make(Operators)
	if strings.TrimSpace(text) == "" {
		return ops, nil
	}
	for _, pair := range strings.Split(text, ",") {
		name, digest, _ := strings.Cut(strings.TrimSpace(pair), "=")
		raw, err := hex.DecodeString(digest)
		if name == "" || err != nil || len(raw) != sha256.Size {
			// The error does not repeat the digest, since a key may be there by
			// mistake.
			return nil, fmt.Errorf("operator %q: write NAME=DIGEST with the SHA-256 digest of the key in 64 hexadecimal digits", name)
		}
		d := [sha256.Size]byte(raw)
		if _, dup := ops[d]; dup {
			return nil, fmt.Errorf("operator %q: the digest is used twice", name)
		}
		ops[d] = name
	}
	return ops, nil
}

// Authenticate returns the name of the operator who sent the request. It
// compares with every operator's digest in constant time. An error has the
// kind unauthorized.
func (o Operators) Authenticate(r *http.Request) (string, error) {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || secret == "" {
		return "", errkind.Errorf(errkind.Unauthorized, "no operator key was sent")
	}
	digest := sha256.Sum256([]byte(secret))
	name := ""
	for known, operator := range o {
		if subtle.ConstantTimeCompare(known[:], digest[:]) == 1 {
			name = operator
		}
	}
	if name == "" {
		return "", errkind.Errorf(errkind.Unauthorized, "the operator key is not known")
	}
	return name, nil
}

// Has reports whether a hexadecimal digest is that of an operator's key.
func (o Operators) Has(digest string) bool {
	raw, err := hex.DecodeString(digest)
	if err != nil || len(raw) != sha256.Size {
		return false
	}
	_, ok := o[[sha256.Size]byte(raw)]
	return ok
}
