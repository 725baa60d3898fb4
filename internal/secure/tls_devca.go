package secure

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/url"
	"time"
)

const (
	// DevCAValidity is how long a development CA is valid.
	DevCAValidity = 10 * 365 * 24 * time.Hour
	// DevCertificateValidity is how long a certificate of a development CA is valid.
	DevCertificateValidity = 365 * 24 * time.Hour

	clockSkew = time.Hour // certificates are valid from an hour before their issue, for instances whose clocks are behind
)

// DevCA is a certificate authority for development and tests.
type DevCA struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	now         time.Time
}

// NewDevCA returns a certificate authority with a new key, which exists in memory only. The validity of its
// certificates counts from now.
func NewDevCA(now time.Time) (*DevCA, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	tmpl := &x509.Certificate{
		SerialNumber:          newSerial(),
		Subject:               pkix.Name{CommonName: "savorypass development CA"},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(DevCAValidity),
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
		BasicConstraintsValid: true,
		IsCA:                  true,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &DevCA{certificate: cert, key: key, now: now}, err
}

// CertificatePEM returns the CA's certificate as PEM text.
func (ca *DevCA) CertificatePEM() string {
	return encodePEM("CERTIFICATE", ca.certificate.Raw)
}

// Issue creates a key and a certificate for an entry instance and returns both, with the CA's certificate, as PEM text.
func (ca *DevCA) Issue(n Name) (TLSSettings, error) {
	if !n.valid() {
		return TLSSettings{}, fmt.Errorf("zone %q or instance %q is empty, too long or has characters that are not allowed in the certificate's URI", n.Zone, n.Instance)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return TLSSettings{}, err
	}
	tmpl := &x509.Certificate{
		SerialNumber: newSerial(),
		Subject:      pkix.Name{CommonName: n.Instance},
		NotBefore:    ca.now.Add(-clockSkew),
		NotAfter:     ca.now.Add(DevCertificateValidity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)}, // for tools that check the address; peers check the URI
		URIs:         []*url.URL{{Scheme: nameScheme, Host: n.Zone, Path: "/" + n.Instance}},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, ca.certificate, &key.PublicKey, ca.key)
	if err != nil {
		return TLSSettings{}, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return TLSSettings{}, err
	}
	return TLSSettings{
		Certificate: encodePEM("CERTIFICATE", der),
		Key:         encodePEM("PRIVATE KEY", keyDER),
		CA:          ca.CertificatePEM(),
	}, nil
}

func encodePEM(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}

func newSerial() *big.Int {
	raw := make([]byte, 16) // 128 random bits make serial numbers unique without a counter
	rand.Read(raw)
	return new(big.Int).SetBytes(raw)
}
