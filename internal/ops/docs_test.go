package ops

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a failure in the table of docs/design.md for which docs/OPERATIONS.md has no section of the same name.
func TestEveryFailureHasInstructions(t *testing.T) {
	is := is.New(t)
	design, err := os.ReadFile("../../docs/design.md")
	is.NoErr(err)
	guide, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	headings := strings.ToLower(string(guide))
	_, section, _ := strings.Cut(string(design), "\n## 14. Failures\n")
	section, _, _ = strings.Cut(section, "\n## ")
	rows := 0
	for _, line := range strings.Split(section, "\n") {
		if !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| failure ") {
			continue
		}
		rows++
		name := strings.TrimSpace(strings.Split(line, "|")[1])
		if !strings.Contains(headings, "\n## "+name+"\n") {
			t.Errorf("docs/OPERATIONS.md has no section %q", name)
		}
	}
	is.True(rows > 10)
}
