package catalog

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against requests that are matched to a queue with a shorter prefix or of another host.
func TestMatch(t *testing.T) {
	is := is.New(t)
	c := New(1, []Queue{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "A.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}, Limits{})
	is.Equal(c.Match("a.example", "/x/y/1").Name, "long")
	is.Equal(c.Match("a.example:80", "/x/1").Name, "short")
	is.Equal(c.Match("B.EXAMPLE", "/x/1").Name, "other")
	is.Equal(c.Match("a.example", "/z/1"), nil)
	is.Equal(c.Match("c.example", "/x/1"), nil)
}

// Guards against a configuration that is replaced by an older version.
func TestStoreIfNewer(t *testing.T) {
	is := is.New(t)
	var current Current
	is.Equal(current.Load(), nil)
	is.True(current.StoreIfNewer(New(5, nil, Limits{})))
	is.True(!current.StoreIfNewer(New(4, nil, Limits{})))
	is.True(!current.StoreIfNewer(New(5, nil, Limits{})))
	is.True(current.StoreIfNewer(New(9, nil, Limits{})))
	is.Equal(current.Load().Version, int64(9))
}
