// Package secure implements the TLS configurations of an entry instance, whose certificate, key and CA can be replaced
// in a running process, bearer tokens with their roles, the callers' rate limits, and the redaction of secrets from
// logs and dumps.
package secure

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
)

const (
	// PeerProtocol is the ALPN protocol of connections between entry instances.
	PeerProtocol = "savory-peer/1"

	nameScheme   = "savory"
	pemPrefix    = "-----BEGIN "
	maxNameBytes = 64
)

// Errors of peer certificates.
var (
	// ErrNoName is returned for a certificate that does not have exactly one savory:// URI, or has an invalid one.
	ErrNoName = errors.New("the certificate names no entry instance")
	// ErrNoCertificate is returned for a peer that presents no certificate.
	ErrNoCertificate = errors.New("the peer presented no certificate")
)

// Name identifies the entry instance that a certificate is issued to.
type Name struct {
	Zone     string
	Instance string
}

// String returns the name as the URI that certificates carry.
func (n Name) String() string {
	return nameScheme + "://" + n.Zone + "/" + n.Instance
}

// TLSSettings holds an entry instance's certificate, its private key and the CA's certificate. Each field is PEM text
// or the path of a PEM file.
type TLSSettings struct {
	Certificate string
	Key         string
	CA          string
}

// TLS holds the current certificate, key and CA of an entry instance, together called the material. It is safe for
// concurrent use.
type TLS struct {
	current atomic.Pointer[material]
}

type material struct {
	certificate tls.Certificate // with its private key
	roots       *x509.CertPool  // the CA's certificates
	name        Name            // name in the certificate
}

// LoadTLS reads the material. It checks that the certificate belongs to the key, names an entry instance and is valid
// under the CA.
func LoadTLS(s TLSSettings) (*TLS, error) {
	t := &TLS{}
	if err := t.Reload(s); err != nil {
		return nil, err
	}
	return t, nil
}

// Reload reads and checks the material like LoadTLS and replaces the current one. The certificate must carry the same
// Name as before. Handshakes that begin afterwards use the new material; established connections are not affected. On
// an error the current material stays in use.
func (t *TLS) Reload(s TLSSettings) error {
	m, err := loadMaterial(s)
	if err != nil {
		return err
	}
	if old := t.current.Load(); old != nil && old.name != m.name {
		return fmt.Errorf("the new certificate names %s, the current one names %s", m.name, old.name)
	}
	t.current.Store(m)
	return nil
}

// Name returns the name in the process's own certificate.
func (t *TLS) Name() Name { return t.current.Load().name }

// Server returns the configuration of a listener for peers. Each handshake uses the material that is current when it
// begins.
func (t *TLS) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{PeerProtocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return t.current.Load().config(), nil
		},
	}
}

// Client returns the configuration of one outgoing connection to a peer, with the current material.
func (t *TLS) Client() *tls.Config { return t.current.Load().config() }

// config returns the configuration for either side of a connection between peers. Peers are addressed by IP address and
// named by the URI in their certificate, so the host name check is switched off and verify checks the chain and the
// name on both sides. Session tickets are switched off because a resumed session would not be checked against a
// replaced CA.
func (m *material) config() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{PeerProtocol},
		Certificates:           []tls.Certificate{m.certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true,
		SessionTicketsDisabled: true,
		VerifyConnection:       m.verify,
	}
}

func (m *material) verify(state tls.ConnectionState) error {
	certs := state.PeerCertificates
	if len(certs) == 0 {
		return ErrNoCertificate
	}
	if err := m.verifyChain(certs); err != nil {
		return err
	}
	_, err := nameOf(certs[0])
	return err
}

func (m *material) verifyChain(certs []*x509.Certificate) error {
	opts := x509.VerifyOptions{
		Roots:         m.roots,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, c := range certs[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err := certs[0].Verify(opts)
	return err
}

// PeerName returns the name in the certificate of a connection's peer. The handshake has already verified the
// certificate.
func PeerName(state tls.ConnectionState) (Name, error) {
	if len(state.PeerCertificates) == 0 {
		return Name{}, ErrNoCertificate
	}
	return nameOf(state.PeerCertificates[0])
}

func nameOf(c *x509.Certificate) (Name, error) {
	var found Name
	for _, u := range c.URIs {
		if u.Scheme != nameScheme {
			continue
		}
		n := Name{Zone: u.Host, Instance: strings.TrimPrefix(u.Path, "/")}
		if found != (Name{}) || !n.valid() {
			return Name{}, ErrNoName
		}
		found = n
	}
	if found == (Name{}) {
		return Name{}, ErrNoName
	}
	return found, nil
}

func (n Name) valid() bool {
	return validPart(n.Zone) && validPart(n.Instance)
}

func validPart(s string) bool {
	return s != "" && len(s) <= maxNameBytes && !strings.ContainsAny(s, "/?#@:%. \t\r\n")
}

func loadMaterial(s TLSSettings) (*material, error) {
	cert, certErr := readPEM("certificate", s.Certificate)
	key, keyErr := readPEM("key", s.Key)
	ca, caErr := readPEM("CA", s.CA)
	if err := errors.Join(certErr, keyErr, caErr); err != nil {
		return nil, err
	}
	m := &material{roots: x509.NewCertPool()}
	if !m.roots.AppendCertsFromPEM(ca) {
		return nil, errors.New("the CA setting holds no certificate")
	}
	var err error
	if m.certificate, err = tls.X509KeyPair(cert, key); err != nil {
		return nil, fmt.Errorf("certificate and key: %w", err)
	}
	if m.name, err = nameOf(m.certificate.Leaf); err != nil {
		return nil, err
	}
	return m, m.verifyOwnChain()
}

func (m *material) verifyOwnChain() error {
	var chain []*x509.Certificate
	for _, der := range m.certificate.Certificate {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return fmt.Errorf("certificate: %w", err)
		}
		chain = append(chain, c)
	}
	if err := m.verifyChain(chain); err != nil {
		return fmt.Errorf("the certificate is not valid under the CA: %w", err)
	}
	return nil
}

// readPEM returns the PEM text of a setting, whose value is that text or the path of a file. Errors do not contain the
// value, which may be a private key.
func readPEM(setting, value string) ([]byte, error) {
	if value == "" {
		return nil, fmt.Errorf("the %s setting is empty", setting)
	}
	if strings.HasPrefix(strings.TrimSpace(value), pemPrefix) {
		return []byte(value), nil
	}
	data, err := os.ReadFile(value)
	if err != nil {
		return nil, fmt.Errorf("the %s file cannot be read: %w", setting, errors.Unwrap(err))
	}
	if !bytes.Contains(data, []byte(pemPrefix)) {
		return nil, fmt.Errorf("the %s file holds no PEM block", setting)
	}
	return data, nil
}
