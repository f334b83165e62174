package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
)

// ServerName is the DNS name that every instance's certificate must contain.
// Instances are addressed by IP and replaced at any time, so certificates name
// the role instead of an address.
const ServerName = "trefoilstream-peer"

// TLSConfig returns the mutual TLS configuration for both sides of peer
// connections. Its arguments are PEM: the instance's certificate and key, and the
// CA certificate that signed the certificates of all instances.
func TLSConfig(certificate, key, authority string) (*tls.Config, error) {
	pair, err := tls.X509KeyPair([]byte(certificate), []byte(key))
	if err != nil {
		return nil, fmt.Errorf("peer certificate: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(authority)) {
		return nil, errors.New("peer authority: no certificate found")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   ServerName,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
