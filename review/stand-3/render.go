//go:build review

package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// fields are the fields from which the platform fills in a settings template, by their
// dotted names. A value is a string, a list or a table (fields).
type fields map[string]any

type list []string

// render fills in a template as kit/more/system/DEPLOY.md describes it, as far as
// deploy/settings.yaml uses it.
func render(text string, f fields) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		tag, after, found := strings.Cut(rest, "}}")
		if !found {
			return "", fmt.Errorf("placeholder without an end: %.20q", rest)
		}
		text = after
		if !strings.HasPrefix(tag, "#") {
			out.WriteString(value(tag, f))
			continue
		}
		name := tag[1:]
		inner, after, found := strings.Cut(text, "{{/"+name+"}}")
		if !found {
			return "", fmt.Errorf("section %s has no end", name)
		}
		text = after
		section, err := renderSection(inner, f[name], f)
		if err != nil {
			return "", err
		}
		out.WriteString(section)
	}
}

func renderSection(inner string, v any, f fields) (string, error) {
	switch v := v.(type) {
	case nil:
		return "", nil
	case list:
		var out strings.Builder
		for i, item := range v {
			comma := ","
			if i == len(v)-1 {
				comma = ""
			}
			out.WriteString(strings.NewReplacer("{{.}}", item, "{{@}}", fmt.Sprint(i), "{{,}}", comma).Replace(inner))
		}
		return out.String(), nil
	case fields:
		var out strings.Builder
		for _, key := range slices.Sorted(maps.Keys(v)) {
			out.WriteString(strings.NewReplacer("{{.}}", v[key].(string), "{{@}}", key).Replace(inner))
		}
		return out.String(), nil
	}
	return render(inner, f)
}

// value returns the text of a placeholder, "" if there is no value.
func value(tag string, f fields) string {
	if name, index, found := strings.Cut(tag, "."); found {
		if l, ok := f[name].(list); ok && index == "0" {
			return l[0]
		}
	}
	switch v := f[tag].(type) {
	case string:
		return v
	case list:
		return strings.Join(v, ",")
	}
	return ""
}
