package result

import (
	"fmt"
	"strings"
)

//go:generate go run ./page ../../docs/result-codes.md

const pageHead = `# Result codes

<!-- Generated from internal/result by "go generate ./internal/result". Do not edit. -->

Every answer of the callers' and the operators' interface carries a numbered code. Numbers never change their meaning.

- **execution** is what the code claims about the work behind the request. ` + "`not run`" + ` is claimed only where no byte of
  a task can have reached a worker; ` + "`may have run`" + ` claims nothing.
- **final**: a later request for the same identity gives the same outcome. After a code that is not final the same
  submission may be sent again with the same identity, unless the last column says otherwise; it never starts a task
  twice.

| range | subject |
|---|---|
| 0 to 99 | accepted requests |
| 100 to 199 | requests that cannot be read or are out of bounds |
| 200 to 299 | authentication and authorization |
| 300 to 399 | refusals of valid requests |
| 400 to 499 | jobs that were accepted and did not complete |
| 500 to 599 | faults of the dispatcher |
| 600 to 699 | operators' requests |

| code | name | HTTP status | execution | final | meaning | what to do |
|---|---|---|---|---|---|---|
`

// Page returns the documentation page of all codes, in Markdown.
func Page() string {
	var b strings.Builder
	b.WriteString(pageHead)
	for _, c := range All() {
		i := c.Info()
		final := "no"
		if i.Final {
			final = "yes"
		}
		fmt.Fprintf(&b, "| %d | `%s` | %d | %s | %s | %s | %s |\n", int(c), i.Name, i.HTTPStatus, i.Execution, final, i.Meaning, i.Advice)
	}
	return b.String()
}
