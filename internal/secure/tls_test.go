package secure

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an invalid setting that is found only at the first handshake, and against an error that contains the
// key.
func TestLoadTLS(t *testing.T) {
	is := is.New(t)
	ca, err := NewDevCA(time.Now())
	is.NoErr(err)
	other, err := NewDevCA(time.Now())
	is.NoErr(err)
	good, err := ca.Issue(Name{Zone: "blackstone", Instance: "e1"})
	is.NoErr(err)
	loaded, err := LoadTLS(good)
	is.NoErr(err)
	is.Equal(loaded.Name(), Name{Zone: "blackstone", Instance: "e1"})
	file := filepath.Join(t.TempDir(), "key.pem")
	is.NoErr(os.WriteFile(file, []byte(good.Key), 0o600))
	_, err = LoadTLS(TLSSettings{Certificate: good.Certificate, Key: file, CA: good.CA})
	is.NoErr(err)

	second, err := ca.Issue(Name{Zone: "blackstone", Instance: "e2"})
	is.NoErr(err)
	old, err := NewDevCA(time.Now().Add(-2 * DevCertificateValidity))
	is.NoErr(err)
	expired, err := old.Issue(Name{Zone: "blackstone", Instance: "e1"})
	is.NoErr(err)
	for _, bad := range []TLSSettings{
		{},
		expired,
		{Certificate: good.Certificate, Key: good.Key, CA: other.CertificatePEM()},
		{Certificate: good.Certificate, Key: second.Key, CA: good.CA},
		{Certificate: good.Certificate, Key: file + ".missing", CA: good.CA},
		{Certificate: good.CA, Key: good.Key, CA: good.CA},
	} {
		_, err = LoadTLS(bad)
		is.True(err != nil)
		is.True(!strings.Contains(err.Error(), "PRIVATE"))
	}
	for _, n := range []Name{{}, {Zone: "a", Instance: ""}, {Zone: "a/b", Instance: "c"}, {Zone: "a", Instance: strings.Repeat("x", 65)}} {
		_, err = ca.Issue(n)
		is.True(err != nil)
	}
}
