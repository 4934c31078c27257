// Package settings reads the YAML settings of one daemon. One table holds the
// default, unit and range of every setting; docs/settings.md is generated from it.
package settings
