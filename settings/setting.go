package settings

import (
	"fmt"
	"strings"

	"medlaryard.example/medlaryard/catalogue/syntax"
)

// Setting is one row of the table: a key of the settings file with its
// default, unit and range.
type Setting struct {
	path     string
	unit     string
	expected string
	fallback string
	help     string
	reset    func(*Spec)
	read     func(m *syntax.Mapping, key string, spec *Spec)
}

// Path is the key, with its section before a dot.
func (s Setting) Path() string { return s.path }

// Unit is the unit of the value, or its form where it has none.
func (s Setting) Unit() string { return s.unit }

// Expected describes the accepted values with their range.
func (s Setting) Expected() string { return s.expected }

// Default is the value of a key that is left out, in words.
func (s Setting) Default() string { return s.fallback }

// Help states what the setting does.
func (s Setting) Help() string { return s.help }

// section splits the path; the section of a top-level key is empty.
func (s Setting) section() (section, key string) {
	if i := strings.IndexByte(s.path, '.'); i >= 0 {
		return s.path[:i], s.path[i+1:]
	}
	return "", s.path
}

// required is a setting without a default.
func required[T any](path, unit string, t syntax.Type[T], at func(*Spec) *T, help string) Setting {
	return Setting{
		path: path, unit: unit, expected: t.Expected(), fallback: "required", help: help,
		reset: func(*Spec) {},
		read: func(m *syntax.Mapping, key string, spec *Spec) {
			*at(spec) = syntax.Required(m, key, t)
		},
	}
}

// optional is a setting with a default value.
func optional[T any](path, unit string, t syntax.Type[T], fallback T, at func(*Spec) *T, help string) Setting {
	return Setting{
		path: path, unit: unit, expected: t.Expected(), fallback: fmt.Sprint(fallback), help: help,
		reset: func(spec *Spec) { *at(spec) = fallback },
		read: func(m *syntax.Mapping, key string, spec *Spec) {
			*at(spec) = syntax.Optional(m, key, t, fallback)
		},
	}
}

// derived is a text setting whose default is described in words and set later.
func derived(path, unit string, t syntax.Type[string], fallback string, at func(*Spec) *string, help string) Setting {
	s := optional(path, unit, t, "", at, help)
	s.fallback = fallback
	return s
}
