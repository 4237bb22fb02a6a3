package loader

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
)

// PeerName is the name that every daemon's certificate carries, since peers
// are dialed by address.
const PeerName = "banyanplank"

// TLS returns the configuration for both ends of a connection between daemons,
// or nil if TLS is off. Each end must show a certificate of the authority.
func (k Keys) TLS() (config *tls.Config, err error) {
	if k.Insecure {
		return nil, nil
	}
	defer func() { err = errors.Wrap(err, "load keys") }()
	certificate, err := tls.LoadX509KeyPair(k.Certificate, k.Key)
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(k.Authority)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Newf("%s holds no certificate", k.Authority)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   PeerName,
	}, nil
}
