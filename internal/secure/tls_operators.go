package secure

import "crypto/tls"

// Operators returns the configuration of the operators' listener. Operators authenticate by token, so no client
// certificate is requested. Each handshake uses the certificate that is current when it begins.
func (t *TLS) Operators() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &t.current.Load().certificate, nil
		},
	}
}
