package loader

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
)

// PeerName is the DNS name in the certificate of every daemon. Peers are dialed by
// address, so the certificates are verified against this name.
const PeerName = "banyanplank"

// TLS returns the TLS configuration for clients and servers among the daemons, or
// nil if TLS is disabled. Both sides must present a certificate issued by the
// authority. It fails if a file cannot be read or parsed.
func (k Keys) TLS() (config *tls.Config, err error) {
	if k.Insecure {
		return nil, nil
	}
	defer func() { err = errors.Wrap(err, "load TLS keys") }()
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
		return nil, errors.Newf("%s contains no certificate", k.Authority)
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
