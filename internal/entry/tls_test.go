package entry_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/entry"
	"github.com/daisyrack/daisyrack/internal/setup"
)

// certAuthority is a certificate authority that issues the certificates of a test.
type certAuthority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newCertAuthority(t *testing.T) *certAuthority {
	a := &certAuthority{t: t, dir: t.TempDir()}
	a.key, a.cert = a.issue("authority", nil)
	return a
}

func (a *certAuthority) issue(name string, signer *certAuthority) (*ecdsa.PrivateKey, *x509.Certificate) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:     x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		IsCA:         signer == nil, BasicConstraintsValid: true,
	}
	parent, parentKey := template, key
	if signer != nil {
		parent, parentKey = signer.cert, signer.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	assert.NilError(a.t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(a.t, err)
	return key, cert
}

func (a *certAuthority) writePEM(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	assert.NilError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// issueFiles writes a certificate that is signed by signer, its key, and the certificate of a as
// the trusted authority.
func (a *certAuthority) issueFiles(name string, signer *certAuthority) *setup.TLS {
	key, cert := a.issue(name, signer)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(a.t, err)
	return &setup.TLS{
		CertificateFile: a.writePEM(name+".crt", "CERTIFICATE", cert.Raw),
		KeyFile:         a.writePEM(name+".key", "PRIVATE KEY", der),
		AuthorityFile:   a.writePEM("authority.crt", "CERTIFICATE", a.cert.Raw),
	}
}

// sendByte sends one byte from a client to a server and returns the error of either side.
func sendByte(t *testing.T, server, client *entry.PeerTLS) error {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := server.Listener(listener)
	defer func() { _ = l.Close() }()
	received := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			_, err = io.ReadFull(conn, make([]byte, 1))
			_ = conn.Close()
		}
		received <- err
	}()
	conn, err := client.Dial(context.Background(), listener.Addr().String())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte{1}); err != nil {
		return err
	}
	_ = conn.(interface{ CloseWrite() error }).CloseWrite()
	return <-received
}

func newPeerTLS(t *testing.T, files *setup.TLS) *entry.PeerTLS {
	s, err := entry.NewPeerTLS(files)
	assert.NilError(t, err)
	return s
}

// Guards against connections from instances without a trusted certificate, and against renewed
// certificates that are only used after a restart.
func TestOnlyTrustedInstancesConnect(t *testing.T) {
	own, other := newCertAuthority(t), newCertAuthority(t)
	server := newPeerTLS(t, own.issueFiles("server", own))
	assert.NilError(t, sendByte(t, server, newPeerTLS(t, own.issueFiles("client", own))))
	assert.Assert(t, sendByte(t, server, newPeerTLS(t, nil)) != nil, "client without TLS")
	foreign := own.issueFiles("stranger", other)
	assert.Assert(t, sendByte(t, server, newPeerTLS(t, foreign)) != nil, "certificate of another authority")
	client := newPeerTLS(t, foreign)
	*foreign = *own.issueFiles("stranger", own)
	assert.NilError(t, sendByte(t, server, client), "renewed files are not used")
}

// Guards against an instance that starts with unusable certificate files.
func TestInvalidCertificateFilesFailAtStartup(t *testing.T) {
	a := newCertAuthority(t)
	good := a.issueFiles("good", a)
	broken := filepath.Join(a.dir, "broken.pem")
	assert.NilError(t, os.WriteFile(broken, []byte("not a certificate"), 0o600))
	for _, files := range []setup.TLS{
		{CertificateFile: broken, KeyFile: good.KeyFile, AuthorityFile: good.AuthorityFile},
		{CertificateFile: good.CertificateFile, KeyFile: broken, AuthorityFile: good.AuthorityFile},
		{CertificateFile: good.CertificateFile, KeyFile: good.KeyFile, AuthorityFile: broken},
		{CertificateFile: "missing", KeyFile: good.KeyFile, AuthorityFile: good.AuthorityFile},
	} {
		_, err := entry.NewPeerTLS(&files)
		assert.Assert(t, err != nil)
	}
}
