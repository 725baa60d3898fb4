// Package identity issues and verifies submission identities.
//
// An identity names its home: the one incarnation of one entry instance that may start its tasks. The home verifies
// identities with a key that it made at start and shares with nobody, and measures their age on its own monotonic
// clock, so that no stored record and no clock agreement is needed to tell a first submission from a repetition.
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
	version  = "1"
	macBytes = 12 // 96 bits: a forged identity is accepted with probability 2^-96
	bodySize = 16 // sequence number and issue time, 8 bytes each
)

var (
	// ErrMalformed is returned for text that no instance can have issued.
	ErrMalformed = errors.New("identity is malformed")
	// ErrForged is returned for an identity whose authentication code does not match its content or its team.
	ErrForged = errors.New("identity was not issued to this team by this incarnation")
	// ErrExpired is returned for an identity that is older than the validity.
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
	Seq    uint64
	Issued time.Duration // since the home's start
	mac    [macBytes]byte
}

// Parse reads an identity. Only its home can verify it.
func Parse(s string) (ID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 5 || parts[0] != version || parts[1] == "" || parts[2] == "" {
		return ID{}, ErrMalformed
	}
	inc, err := strconv.ParseUint(parts[3], 36, 64)
	if err != nil {
		return ID{}, ErrMalformed
	}
	raw, err := base64.RawURLEncoding.DecodeString(parts[4])
	if err != nil || len(raw) != bodySize+macBytes {
		return ID{}, ErrMalformed
	}
	id := ID{Home: Home{Zone: parts[1], Instance: parts[2], Incarnation: inc}}
	id.Seq = binary.BigEndian.Uint64(raw)
	id.Issued = time.Duration(binary.BigEndian.Uint64(raw[8:]))
	copy(id.mac[:], raw[bodySize:])
	return id, nil
}

// Issuer issues the identities of one incarnation and verifies them.
type Issuer struct {
	home   Home
	prefix string
	term   atomic.Pointer[term]
	age    func() time.Duration // time since the incarnation's start, monotonic
	seq    atomic.Uint64
	macs   sync.Pool
}

// term says which identities are valid.
type term struct {
	validity time.Duration
	longest  time.Duration // longest validity so far
	floor    time.Duration // identities issued earlier had expired before the validity became longer
}

// NewIssuer returns an issuer with a fresh random key. age must return the monotonic time since start.
func NewIssuer(home Home, validity time.Duration, age func() time.Duration) *Issuer {
	key := make([]byte, sha256.Size)
	rand.Read(key) // never fails; it aborts the process where no randomness is to be had
	prefix := strings.Join([]string{version, home.Zone, home.Instance, strconv.FormatUint(home.Incarnation, 36)}, ".") + "."
	i := &Issuer{home: home, prefix: prefix, age: age}
	i.term.Store(&term{validity: validity, longest: validity})
	i.macs.New = func() any { return hmac.New(sha256.New, key) }
	return i
}

// Home returns the incarnation that the issuer speaks for.
func (i *Issuer) Home() Home { return i.home }

// Validity returns how long an identity may be used for a first submission.
func (i *Issuer) Validity() time.Duration { return i.term.Load().validity }

// SetValidity changes the validity of all identities. One that had ever expired stays expired, because its record may
// be gone. Records must be kept for the longest validity so far, from before the call. It must not be called by two
// goroutines at once.
func (i *Issuer) SetValidity(validity time.Duration) {
	next := *i.term.Load()
	next.validity = validity
	if validity > next.longest {
		next.floor = max(next.floor, i.age()-next.longest)
		next.longest = validity
	}
	i.term.Store(&next)
}

// Issue returns a new identity for a team.
func (i *Issuer) Issue(team string) string {
	var raw [bodySize + macBytes]byte
	binary.BigEndian.PutUint64(raw[:], i.seq.Add(1))
	binary.BigEndian.PutUint64(raw[8:], uint64(i.age()))
	copy(raw[bodySize:], i.sum(raw[:bodySize], team))
	return i.prefix + base64.RawURLEncoding.EncodeToString(raw[:])
}

// Verify checks that this incarnation issued id to team and that id is still valid. An identity whose validity has
// passed gives ErrExpired; its tasks must not be started, since its record may be gone.
func (i *Issuer) Verify(id ID, team string) error {
	var raw [bodySize]byte
	binary.BigEndian.PutUint64(raw[:], id.Seq)
	binary.BigEndian.PutUint64(raw[8:], uint64(id.Issued))
	if id.Home != i.home || !hmac.Equal(id.mac[:], i.sum(raw[:], team)) {
		return ErrForged
	}
	t := i.term.Load()
	if i.age()-id.Issued > t.validity || id.Issued < t.floor {
		return ErrExpired
	}
	return nil
}

func (i *Issuer) sum(body []byte, team string) []byte {
	m := i.macs.Get().(hash.Hash)
	defer i.macs.Put(m)
	m.Reset()
	m.Write(body)
	m.Write([]byte(team))
	return m.Sum(nil)[:macBytes]
}
