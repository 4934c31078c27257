package evaluate

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"

	"medlaryard.example/medlaryard/catalogue/syntax"
)

// address is one searcher address and the node that declares it.
type address struct {
	text string
	node *syntax.Node
}

const addressExpected = `an IP address with port such as "10.1.0.4:9000", or one with a range such as "10.1.0.[4-23]:9000" or "127.0.0.1:[9000-9019]"`

var rangePattern = regexp.MustCompile(`^([^\[\]]*)\[([0-9]{1,5})-([0-9]{1,5})\]([^\[\]]*)$`)

// expandAddresses returns all addresses that list declares one by one or as ranges. It
// returns false if an element is faulty or the estate has too many searchers.
func (e *evaluator) expandAddresses(list []*syntax.Node) ([]address, bool) {
	var out []address
	ok := true
	for _, n := range list {
		texts := expandRange(n)
		if texts == nil {
			e.problems.AddAt(n, addressExpected, n.Found())
			ok = false
			continue
		}
		e.searcherCount += len(texts)
		if e.searcherCount > maxSearchers {
			e.problems.AddAt(n, fmt.Sprintf("at most %d searchers in the estate", maxSearchers), "more")
			return nil, false
		}
		for _, t := range texts {
			out = append(out, address{text: t, node: n})
		}
	}
	return out, ok
}

// expandRange returns the addresses that n declares, or nil if n is neither an address
// nor a range of addresses.
func expandRange(n *syntax.Node) []string {
	if n.Kind() != syntax.Text {
		return nil
	}
	match := rangePattern.FindStringSubmatch(n.Scalar())
	if match == nil {
		return appendAddress(nil, n.Scalar())
	}
	low, _ := strconv.Atoi(match[2])
	high, _ := strconv.Atoi(match[3])
	if low > high || high > 1<<16-1 {
		return nil
	}
	var out []string
	for i := low; i <= high; i++ {
		out = appendAddress(out, match[1]+strconv.Itoa(i)+match[4])
		if len(out) != i-low+1 {
			return nil
		}
	}
	return out
}

func appendAddress(out []string, text string) []string {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		return out
	}
	return append(out, a.String())
}
