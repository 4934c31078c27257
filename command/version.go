package command

import (
	"fmt"
	"runtime/debug"
)

type versionCommand struct{}

// Run prints the module version, the VCS revision and the Go version.
func (*versionCommand) Run(env *Env) error {
	version, revision, compiler := "(devel)", "", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		version, compiler = info.Main.Version, info.GoVersion
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = " " + s.Value
			}
		}
	}
	_, err := fmt.Fprintf(env.Stdout, "medlaryard %s%s %s\n", version, revision, compiler)
	return err
}
