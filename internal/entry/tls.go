package entry

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/internal/setup"
)

// PeerTLS secures the connections between instances with mutual TLS. Certificates are read from
// their files at each handshake, so that renewed ones need no restart; handshakes are rare, since
// instances keep their connections open.
type PeerTLS struct {
	files *setup.TLS
}

// NewPeerTLS loads the files once, so that a wrong setting is found at startup. Without files,
// connections are not encrypted.
func NewPeerTLS(files *setup.TLS) (*PeerTLS, error) {
	s := &PeerTLS{files: files}
	if files == nil {
		return s, nil
	}
	_, err := s.config()
	return s, err
}

// config loads the certificates from their files.
func (s *PeerTLS) config() (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(s.files.CertificateFile, s.files.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "entry: unable to load certificate")
	}
	data, err := os.ReadFile(s.files.AuthorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "entry: unable to read authority file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Newf("entry: no certificate in authority file %s", s.files.AuthorityFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// Listener wraps l with TLS if certificates are configured.
func (s *PeerTLS) Listener(l net.Listener) net.Listener {
	if s.files == nil {
		return l
	}
	return tls.NewListener(l, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.config()
		},
	})
}

// Dial opens a connection to another instance, with TLS if certificates are configured.
func (s *PeerTLS) Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	if s.files == nil {
		return d.DialContext(ctx, "tcp", address)
	}
	cfg, err := s.config()
	if err != nil {
		return nil, err
	}
	return (&tls.Dialer{NetDialer: &d, Config: cfg}).DialContext(ctx, "tcp", address)
}

// operatorToken reads the token that requests for changes must carry. It returns "" if none is
// configured.
func (inst *Instance) operatorToken() (string, error) {
	if inst.Settings.OperatorTokenFile == "" {
		return "", nil
	}
	data, err := os.ReadFile(inst.Settings.OperatorTokenFile)
	if err != nil {
		return "", errors.Wrap(err, "entry: unable to read operators' token")
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", errors.New("entry: the operators' token is empty")
	}
	return token, nil
}
