package bbrlistener

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrlimit"
)

// writeCertificate writes a certificate for 127.0.0.1 and its key.
func writeCertificate(t *testing.T) bbrsettings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	encodedKey, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	files := bbrsettings.TLS{Certificate: filepath.Join(t.TempDir(), "certificate"), Key: filepath.Join(t.TempDir(), "key")}
	require.NoError(t, os.WriteFile(files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}), 0o600))
	require.NoError(t, os.WriteFile(files.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encodedKey}), 0o600))
	return files
}

// TestEncryptedListener guards against limits that apply to encrypted bytes, and against
// several requests in progress on one connection.
func TestEncryptedListener(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	require.NoError(t, listener.Close())
	settings := bbrsettings.Default()
	settings.Listen.TLS = writeCertificate(t)
	l := New(bbrlimit.Callers, address, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), settings, bbrlimit.New(settings, bbrmetric.New()))
	require.NoError(t, l.Start(t.Context()))
	defer func() { require.NoError(t, l.Stop(context.Background())) }()
	transport := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, ForceAttemptHTTP2: true}
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport, Timeout: 30 * time.Second}
	for range 2 {
		response, err := client.Get("https://" + address.String())
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, "HTTP/1.1", response.Proto)
	}
	request, err := http.NewRequest(http.MethodGet, "https://"+address.String(), nil)
	require.NoError(t, err)
	for i := range settings.Limits.HeaderFields {
		request.Header.Set("F"+string(rune('a'+i%26))+string(rune('a'+i/26)), "x")
	}
	response, err := client.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
}
