package peer_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/peer"
)

// mutualTLS returns a configuration for both sides with a self-signed
// certificate.
func mutualTLS(t *testing.T) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}
}

// Guards against daemons that accept or contact a peer without a trusted
// certificate.
func TestMutualTLS(t *testing.T) {
	g := NewWithT(t)
	cfg := mutualTLS(t)
	_, address := startService(t, peer.ServiceConfig{RequestHandler: &fakeRequestHandler{serve: echo}, TLS: cfg})
	stranger := mutualTLS(t)
	stranger.RootCAs = cfg.RootCAs
	for name, tc := range map[string]struct {
		cfg peer.Config
		ok  bool
	}{
		"trusted":  {peer.Config{TLS: cfg}, true},
		"stranger": {peer.Config{TLS: stranger}, false},
		"plain":    {peer.Config{}, false},
	} {
		streams, _ := startClient(t, tc.cfg)
		var got []byte
		_, err := streams.Do(testContext(t), address, newRequest("x"), collect(&got))
		g.Expect(err == nil).To(Equal(tc.ok), "%s: %v", name, err)
		_, err = streams.Locate(testContext(t), address, "members")
		g.Expect(err == nil).To(Equal(tc.ok), "%s: %v", name, err)
	}
}
