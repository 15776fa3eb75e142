package localdeploy_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/localdeploy"
	"github.com/beryltrestle/beryltrestle/internal/settings"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1, which also serves
// as its own CA certificate, and its key.
func writeCertificate(t *testing.T) (cert, key string) {
	t.Helper()
	g := NewWithT(t)
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "beryltrestle"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	g.Expect(err).NotTo(HaveOccurred())
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	g.Expect(err).NotTo(HaveOccurred())
	cert, key = filepath.Join(t.TempDir(), "cert.pem"), filepath.Join(t.TempDir(), "key.pem")
	g.Expect(os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600)).To(Succeed())
	g.Expect(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}), 0o600)).To(Succeed())
	return cert, key
}

// Guards against TLS settings without effect: callers must be able to use TLS, and a
// peer without a certificate must be refused.
func TestTLS(t *testing.T) {
	g := NewWithT(t)
	cert, key := writeCertificate(t)
	d := startDeployment(t, localdeploy.Config{TLS: settings.TLS{
		CallerCertFile: cert, CallerKeyFile: key,
		PeerCertFile: cert, PeerKeyFile: key, PeerCAFile: cert,
	}})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, h := range d.Hosts {
		conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://app@%s/members?sslmode=verify-ca&sslrootcert=%s", h.CallerAddress(), cert))
		g.Expect(err).NotTo(HaveOccurred())
		_, err = conn.Exec(ctx, "SELECT 1")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(conn.Close(ctx)).To(Succeed())
	}
	peer, err := tls.Dial("tcp", d.Hosts[0].PeerAddress(), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2"}})
	if err == nil {
		// With TLS 1.3, the client learns of the refusal at its first read.
		_, err = peer.Read(make([]byte, 1))
		peer.Close()
	}
	g.Expect(err).To(MatchError(ContainSubstring("certificate required")))
}
