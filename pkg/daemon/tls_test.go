package daemon

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
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	platformmemory "github.com/carawayusher/carawayusher/pkg/platform/memory"
	"github.com/carawayusher/carawayusher/pkg/settings"
	targetmemory "github.com/carawayusher/carawayusher/pkg/target/memory"
)

// writeCertificate makes a self-signed certificate for 127.0.0.1, which is its
// own authority, and returns the files.
func writeCertificate(t *testing.T) (cert, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "vm-1"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	cert, key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	writePEM(t, cert, "CERTIFICATE", der)
	writePEM(t, key, "PRIVATE KEY", keyDER)
	return cert, key
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards against listeners that speak plain HTTP although the settings name
// certificates, and against a key that does not fit being found only by callers.
func TestListenersUseTLS(t *testing.T) {
	cert, key := writeCertificate(t)
	text := fmt.Sprintf(`
vm: {id: vm-1, failure_domain: r/a, listen: "127.0.0.1:0", peer_listen: "127.0.0.1:0"}
platform: {url: "http://127.0.0.1:1"}
tls: {certificate: %q, key: %q, client_ca: %q}
drain: {timeout: 2s}
`, cert, key, cert)
	s, faults := settings.Parse("settings", []byte(text))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	store := platformmemory.NewStore(platformmemory.Options{})
	d, err := New(s, logr.Discard(), Backends{Store: store, VMs: store, Dialer: &targetmemory.Dialer{}})
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = d.Stop(context.Background()) }()

	roots := x509.NewCertPool()
	raw, err := os.ReadFile(cert)
	if err != nil || !roots.AppendCertsFromPEM(raw) {
		t.Fatal("certificate cannot be read", err)
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}}
	defer transport.CloseIdleConnections()
	answer, err := (&http.Client{Transport: transport}).Get("https://" + d.Address() + "/healthz")
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		t.Errorf("status %d over TLS", answer.StatusCode)
	}
	other, _ := writeCertificate(t)
	if _, err := serverTLS(settings.TLS{Certificate: other, Key: key}); !errkind.Is(err, errkind.InvalidConfig) {
		t.Errorf("certificate with another key: %v", err)
	}
}
