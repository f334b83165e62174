package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/peerpb"
)

type membership struct {
	peerpb.DRPCMembershipUnimplementedServer
}

func (*membership) Renew(context.Context, *peerpb.RenewRequest) (*peerpb.RenewReply, error) {
	return &peerpb.RenewReply{Granted: true}, nil
}

// issueCertificate returns a CA certificate and a certificate signed by it with
// its key, as PEM.
func issueCertificate(t *testing.T) (cert, key, authority string) {
	t.Helper()
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	ca := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	leaf := *ca
	leaf.SerialNumber, leaf.IsCA, leaf.DNSNames = big.NewInt(2), false, []string{ServerName}
	leaf.KeyUsage = x509.KeyUsageDigitalSignature
	leaf.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	leafKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	if err != nil {
		t.Fatal(err)
	}
	leafDER, err := x509.CreateCertificate(rand.Reader, &leaf, ca, &leafKey.PublicKey, caKey)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(leafKey)
	if err != nil {
		t.Fatal(err)
	}
	encode := func(kind string, der []byte) string {
		return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
	}
	return encode("CERTIFICATE", leafDER), encode("PRIVATE KEY", keyDER), encode("CERTIFICATE", caDER)
}

func testConfig(t *testing.T) *tls.Config {
	t.Helper()
	config, err := TLSConfig(issueCertificate(t))
	if err != nil {
		t.Fatal(err)
	}
	return config
}

func serve(t *testing.T, config *tls.Config) string {
	t.Helper()
	s := NewServer(config)
	if err := s.Register(&membership{}, peerpb.DRPCMembershipDescription{}); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = s.Serve(ctx, l) }()
	return l.Addr().String()
}

func renew(config *tls.Config, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	pool := NewPool(config)
	defer func() { _ = pool.Close() }()
	_, err := peerpb.NewDRPCMembershipClient(pool.Conn(ctx, address)).Renew(ctx, &peerpb.RenewRequest{})
	return err
}

// Guards against serving a process without a certificate signed by the fleet's
// CA.
func TestPeersAreAuthenticated(t *testing.T) {
	config := testConfig(t)
	address := serve(t, config)
	if err := renew(config, address); err != nil {
		t.Fatalf("peer of the same authority: %v", err)
	}
	if renew(nil, address) == nil {
		t.Error("a plain TCP call was served")
	}
	if renew(testConfig(t), address) == nil {
		t.Error("a certificate of another authority was accepted")
	}
}

// Guards against malformed input on the peer port that stops the server or breaks
// other calls.
func TestGarbageOnPeerPort(t *testing.T) {
	address := serve(t, nil)
	for _, garbage := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\xff\xff\xff\xff\xff\xff\xff\xff\xff", ""} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write([]byte(garbage))
		_ = conn.Close()
		if err := renew(nil, address); err != nil {
			t.Fatalf("after %q: %v", garbage, err)
		}
	}
}
