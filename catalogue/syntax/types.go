package syntax

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// Name is a name of at most 63 characters that can be used in metrics, object keys and
// URLs.
var Name = NewType("a name of 1 to 63 characters out of a-z, 0-9, dot, hyphen and underscore, with a letter or digit at both ends", func(n *Node) (string, bool) {
	return n.scalar, n.kind == Text && namePattern.MatchString(n.scalar)
})

// Boolean is true or false.
var Boolean = NewType("true or false", func(n *Node) (bool, bool) {
	return strings.EqualFold(n.scalar, "true"), n.kind == Bool
})

// Time is an RFC 3339 time with a time zone offset.
var Time = NewType(`a time such as "2026-03-01T02:00:00+03:00"`, func(n *Node) (time.Time, bool) {
	t, err := time.Parse(time.RFC3339, n.scalar)
	return t, n.kind == Text && err == nil
})

// Address is an IP address with a port, converted to its canonical form.
var Address = NewType(`an IP address with port such as "10.1.0.4:9000"`, func(n *Node) (string, bool) {
	a, err := netip.ParseAddrPort(n.scalar)
	return a.String(), n.kind == Text && err == nil && a.Port() != 0
})

// IntBetween returns the Type of integers from low to high inclusive. The unit is part
// of the description and may be empty.
func IntBetween(low, high int, unit string) Type[int] {
	return NewType(describeRange("an integer", strconv.Itoa(low), strconv.Itoa(high), unit), func(n *Node) (int, bool) {
		v, err := strconv.Atoi(n.scalar)
		return v, n.kind == Integer && err == nil && v >= low && v <= high
	})
}

// FloatBetween returns the Type of numbers from low to high inclusive. The unit is
// part of the description and may be empty.
func FloatBetween(low, high float64, unit string) Type[float64] {
	return NewType(describeRange("a number", formatFloat(low), formatFloat(high), unit), func(n *Node) (float64, bool) {
		v, err := strconv.ParseFloat(n.scalar, 64)
		return v, (n.kind == Integer || n.kind == Float) && err == nil && v >= low && v <= high
	})
}

// DurationBetween returns the Type of durations from low to high inclusive, written
// with a unit.
func DurationBetween(low, high time.Duration) Type[time.Duration] {
	return NewType(describeRange("a duration", low.String(), high.String(), "")+`, written with its unit such as "250ms"`, func(n *Node) (time.Duration, bool) {
		v, err := time.ParseDuration(n.scalar)
		return v, n.kind == Text && err == nil && v >= low && v <= high
	})
}

// OneOf returns the Type that accepts only the given words.
func OneOf[T ~string](words ...T) Type[T] {
	var list []string
	for _, w := range words {
		list = append(list, string(w))
	}
	return NewType("one of "+strings.Join(list, ", "), func(n *Node) (T, bool) {
		for _, w := range words {
			if n.kind == Text && n.scalar == string(w) {
				return w, true
			}
		}
		return "", false
	})
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

func describeRange(kind, low, high, unit string) string {
	s := fmt.Sprintf("%s from %s to %s", kind, low, high)
	if unit != "" {
		s += " " + unit
	}
	return s
}
