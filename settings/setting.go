package settings

import (
	"fmt"
	"strings"

	"medlaryard.example/medlaryard/catalogue/syntax"
)

// Setting describes a key of the settings file: its default, unit and range, and how
// it is decoded.
type Setting struct {
	path        string
	unit        string
	expected    string
	defaultText string
	help        string
	setDefault  func(*Spec)
	read        func(m *syntax.Mapping, key string, spec *Spec)
}

// Path is the key, preceded by its section and a dot if it is in a section.
func (s Setting) Path() string { return s.path }

// Unit is the unit of the value, or its type if it has no unit.
func (s Setting) Unit() string { return s.unit }

// Expected describes the accepted values and their range.
func (s Setting) Expected() string { return s.expected }

// Default describes the default value, or is "required" for a setting without one.
func (s Setting) Default() string { return s.defaultText }

// Help describes the setting.
func (s Setting) Help() string { return s.help }

// section splits the path into section and key. The section of a top-level key is
// empty.
func (s Setting) section() (section, key string) {
	if i := strings.IndexByte(s.path, '.'); i >= 0 {
		return s.path[:i], s.path[i+1:]
	}
	return "", s.path
}

// required returns a setting without a default.
func required[T any](path, unit string, t syntax.Type[T], field func(*Spec) *T, help string) Setting {
	return Setting{
		path: path, unit: unit, expected: t.Expected(), defaultText: "required", help: help,
		setDefault: func(*Spec) {},
		read: func(m *syntax.Mapping, key string, spec *Spec) {
			*field(spec) = syntax.Required(m, key, t)
		},
	}
}

// optional returns a setting with a default value.
func optional[T any](path, unit string, t syntax.Type[T], defaultValue T, field func(*Spec) *T, help string) Setting {
	return Setting{
		path: path, unit: unit, expected: t.Expected(), defaultText: fmt.Sprint(defaultValue), help: help,
		setDefault: func(spec *Spec) { *field(spec) = defaultValue },
		read: func(m *syntax.Mapping, key string, spec *Spec) {
			*field(spec) = syntax.Optional(m, key, t, defaultValue)
		},
	}
}

// derived returns a text setting that is empty by default; defaultText describes what
// the empty value means.
func derived(path, unit string, t syntax.Type[string], defaultText string, field func(*Spec) *string, help string) Setting {
	s := optional(path, unit, t, "", field, help)
	s.defaultText = defaultText
	return s
}
