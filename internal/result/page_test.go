package result

import (
	"os"
	"testing"

	"github.com/matryer/is"
)

// Guards against a documentation page that was not regenerated after a change of the codes.
func TestPageIsCurrent(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/result-codes.md")
	is.NoErr(err)
	is.True(string(page) == Page()) // run go generate ./internal/result
}
