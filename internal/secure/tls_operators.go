package secure

import "crypto/tls"

// Operators returns the configuration of the operators' listener. Operators prove themselves by token, so no client
// certificate is asked for. The material is read anew for each handshake.
func (t *TLS) Operators() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &t.current.Load().certificate, nil
		},
	}
}
