package reference

import (
	"fmt"
	"strings"

	"medlaryard.example/medlaryard/settings"
)

const settingsHead = `# Settings

<!-- Generated from the table in package settings. Change it there and run: go test ./reference -update -->

The settings of a daemon are a YAML file that is passed to ` + "`medlaryard serve`" + `. The part of a name before a dot is a section of the file:

` + "```yaml" + `
name: entry-1
region: ke-central
domain: ke-central-1
caller: {listen: "10.0.0.1:8080"}
peer: {listen: "10.0.0.1:8081"}
operator: {listen: "10.0.0.1:8082"}
store: {address: "10.0.0.9:7000"}
peers: ["10.0.0.2:8081", "10.0.0.3:8081"]
` + "```" + `

If a setting is unknown, repeated or of the wrong type, the daemon does not start; the error gives file, line, column, path and the expected value. Changed settings take effect at the next start. A duration is written with its unit, such as ` + "`250ms`" + ` or ` + "`1m30s`" + `.

Durations that must be equal on all daemons of a cell, such as those of heartbeats and leases, are constants in the code and not settings, because daemons with different values could hold one lease at the same time.

| Setting | Default | Unit | Accepted | Meaning |
|---|---|---|---|---|
`

// Settings returns the text of docs/settings.md.
func Settings() string {
	var out strings.Builder
	out.WriteString(settingsHead)
	for _, s := range settings.Table() {
		fmt.Fprintf(&out, "| `%s` | %s | %s | %s | %s |\n", s.Path(), s.Default(), s.Unit(), s.Expected(), s.Help())
	}
	return out.String()
}
