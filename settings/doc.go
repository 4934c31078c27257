// Package settings reads the YAML settings file of one daemon. A table holds the
// default, unit, range and help text of every setting. Package reference generates
// docs/settings.md from it.
package settings
