// Package identity issues and verifies submission identities.
//
// An identity names its home: the incarnation of an entry instance that issued it and that alone may start its tasks.
// The home verifies identities with a random key that it creates at start and never shares, and measures their age on
// its own monotonic clock. So it can distinguish a first submission from a resubmission without stored records and without
// synchronized clocks.
package identity

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"hash"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	version   = "1"
	macBytes  = 12 // 96 bits of the authentication code; a forged identity is accepted with probability 2^-96
	bodyBytes = 16 // sequence number and issue time, 8 bytes each
)

var (
	// ErrMalformed is returned for text that does not have the format of an identity.
	ErrMalformed = errors.New("identity is malformed")
	// ErrForged is returned for an identity whose authentication code does not match its content or its team.
	ErrForged = errors.New("identity was not issued to this team by this incarnation")
	// ErrExpired is returned for an identity that is older than its validity.
	ErrExpired = errors.New("identity is older than its validity")
)

// Home names the incarnation of an entry instance that issued an identity.
type Home struct {
	Zone        string
	Instance    string
	Incarnation uint64
}

// ID is a parsed identity.
type ID struct {
	Home   Home
	Seq    uint64        // unique within the home
	Issued time.Duration // time of issue since the home's start
	mac    [macBytes]byte
}

// Parse parses an identity. It returns ErrMalformed if s does not have the format of one. It does not verify the
// identity; only the home can do that.
func Parse(s string) (ID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 5 || parts[0] != version || parts[1] == "" || parts[2] == "" {
		return ID{}, ErrMalformed
	}
	incarnation, err := strconv.ParseUint(parts[3], 36, 64)
	if err != nil {
		return ID{}, ErrMalformed
	}
	raw, err := base64.RawURLEncoding.DecodeString(parts[4])
	if err != nil || len(raw) != bodyBytes+macBytes {
		return ID{}, ErrMalformed
	}
	id := ID{Home: Home{Zone: parts[1], Instance: parts[2], Incarnation: incarnation}}
	id.Seq = binary.BigEndian.Uint64(raw)
	id.Issued = time.Duration(binary.BigEndian.Uint64(raw[8:]))
	copy(id.mac[:], raw[bodyBytes:])
	return id, nil
}

// Issuer issues the identities of one incarnation and verifies them.
type Issuer struct {
	home         Home
	prefix       string
	validityRule atomic.Pointer[validityRule]
	age          func() time.Duration // time since the incarnation's start, monotonic
	seq          atomic.Uint64
	macs         sync.Pool
}

// validityRule determines which identities are valid.
type validityRule struct {
	validity        time.Duration
	longestValidity time.Duration // longest validity that was ever set
	minIssued       time.Duration // since the home's start; identities issued earlier had expired before an extension
}

// NewIssuer returns an issuer with a new random key. age must return the monotonic time since the incarnation's start.
func NewIssuer(home Home, validity time.Duration, age func() time.Duration) *Issuer {
	key := make([]byte, sha256.Size)
	rand.Read(key) // never returns an error; it aborts the process if the system provides no randomness
	prefix := strings.Join([]string{version, home.Zone, home.Instance, strconv.FormatUint(home.Incarnation, 36)}, ".") + "."
	i := &Issuer{home: home, prefix: prefix, age: age}
	i.validityRule.Store(&validityRule{validity: validity, longestValidity: validity})
	i.macs.New = func() any { return hmac.New(sha256.New, key) }
	return i
}

// Home returns the incarnation whose identities the issuer issues.
func (i *Issuer) Home() Home { return i.home }

// Validity returns how long an identity may be used for a first submission.
func (i *Issuer) Validity() time.Duration { return i.validityRule.Load().validity }

// SetValidity changes the validity of all identities. An identity that has once expired stays expired, because its
// record may have been dropped. Before the call, the retention of records must be at least the longest validity so
// far, including the new one. SetValidity must not be called concurrently with itself.
func (i *Issuer) SetValidity(validity time.Duration) {
	next := *i.validityRule.Load()
	next.validity = validity
	if validity > next.longestValidity {
		next.minIssued = max(next.minIssued, i.age()-next.longestValidity)
		next.longestValidity = validity
	}
	i.validityRule.Store(&next)
}

// Issue returns a new identity for a team.
func (i *Issuer) Issue(team string) string {
	var raw [bodyBytes + macBytes]byte
	binary.BigEndian.PutUint64(raw[:], i.seq.Add(1))
	binary.BigEndian.PutUint64(raw[8:], uint64(i.age()))
	copy(raw[bodyBytes:], i.sum(raw[:bodyBytes], team))
	return i.prefix + base64.RawURLEncoding.EncodeToString(raw[:])
}

// Verify checks that this incarnation issued id to team and that id is still valid. It returns ErrForged if it did
// not. It returns ErrExpired for an expired identity, whose tasks must not be started, since its record may have been
// dropped.
func (i *Issuer) Verify(id ID, team string) error {
	var raw [bodyBytes]byte
	binary.BigEndian.PutUint64(raw[:], id.Seq)
	binary.BigEndian.PutUint64(raw[8:], uint64(id.Issued))
	if id.Home != i.home || !hmac.Equal(id.mac[:], i.sum(raw[:], team)) {
		return ErrForged
	}
	rule := i.validityRule.Load()
	if i.age()-id.Issued > rule.validity || id.Issued < rule.minIssued {
		return ErrExpired
	}
	return nil
}

// sum returns the truncated authentication code of an identity's body and team.
func (i *Issuer) sum(body []byte, team string) []byte {
	m := i.macs.Get().(hash.Hash)
	defer i.macs.Put(m)
	m.Reset()
	m.Write(body)
	m.Write([]byte(team))
	return m.Sum(nil)[:macBytes]
}
