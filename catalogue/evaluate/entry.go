package evaluate

import (
	"fmt"
	"math"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/catalogue/syntax"
)

// entry reads name, owner, class and limits. Owner, class and limits default to those
// of the enclosing entry.
func (e *evaluator) entry(m *syntax.Mapping, enclosing catalogue.EntrySpec) catalogue.EntrySpec {
	spec := e.unnamedEntry(m, enclosing)
	spec.Name = syntax.Required(m, "name", syntax.Name)
	return spec
}

// unnamedEntry reads owner, class and limits of an entry that has no key name.
func (e *evaluator) unnamedEntry(m *syntax.Mapping, enclosing catalogue.EntrySpec) catalogue.EntrySpec {
	spec := enclosing
	spec.Name = ""
	if n := m.Get("owner"); n != nil {
		spec.Owner = e.ownerName(n)
	} else if enclosing.Owner == "" {
		m.Require("owner", "the name of the owner, here or in an enclosing entry")
		spec.Owner = invalidValue
	}
	if n := m.Get("class"); n != nil {
		spec.Class = e.class(n)
	} else if enclosing.Class == "" {
		m.Require("class", classType.Expected()+", here or in an enclosing entry")
		spec.Class = invalidValue
	}
	if n := m.Get("limits"); n != nil {
		spec.Limits = e.limits(n)
	} else if enclosing.Limits == (catalogue.Limits{}) {
		m.Require("limits", "rate and concurrency, here or in an enclosing entry")
		spec.Limits = newLimits(catalogue.LimitsSpec{})
	}
	return spec
}

// invalidValue replaces a faulty or missing value that entries inherit, so that the
// fault is reported once and not for each of those entries.
const invalidValue = "(faulty)"

func (e *evaluator) ownerName(n *syntax.Node) string {
	name, ok := syntax.Name.Value(n, e.problems)
	if !ok {
		return invalidValue
	}
	e.addReference(n, &e.owners, name)
	return name
}

func (e *evaluator) class(n *syntax.Node) catalogue.Class {
	class, ok := classType.Value(n, e.problems)
	if !ok {
		return invalidValue
	}
	return class
}

func (e *evaluator) limits(n *syntax.Node) catalogue.Limits {
	m := syntax.ReadMapping(n, e.problems)
	defer m.Close()
	spec := catalogue.LimitsSpec{
		Rate:        syntax.Required(m, "rate", rateType),
		Concurrency: syntax.Required(m, "concurrency", concurrencyType),
	}
	return newLimits(spec)
}

// newLimits returns the limits of spec. A faulty or missing bound is 0 in spec and
// becomes infinite, so that no later comparison reports it again.
func newLimits(spec catalogue.LimitsSpec) catalogue.Limits {
	if spec.Rate == 0 {
		spec.Rate = math.Inf(1)
	}
	if spec.Concurrency == 0 {
		spec.Concurrency = math.MaxInt
	}
	return catalogue.NewLimits(spec)
}

func (e *evaluator) domain(n *syntax.Node, root catalogue.EntrySpec) {
	m := syntax.ReadMapping(n, e.problems)
	defer m.Close()
	spec := catalogue.DomainSpec{
		EntrySpec: e.entry(m, root),
		Region:    syntax.Required(m, "region", syntax.Name),
		InService: syntax.Optional(m, "in_service", syntax.Boolean, true),
	}
	e.domains.declare(spec.Name, m.Get("name"))
	e.spec.Domains = append(e.spec.Domains, catalogue.NewDomain(spec))
}

func (e *evaluator) owner(n *syntax.Node, root catalogue.EntrySpec) {
	m := syntax.ReadMapping(n, e.problems)
	defer m.Close()
	// By default, an owner's entry belongs to the owner itself.
	if name := m.Get("name"); name != nil && root.Owner == "" {
		root.Owner = name.Scalar()
	}
	spec := catalogue.OwnerSpec{EntrySpec: e.entry(m, root), ClassLimits: make(map[catalogue.Class]catalogue.Limits)}
	e.owners.declare(spec.Name, m.Get("name"))
	spec.KeyDigests = e.keyDigests(m.List("key_digests"))
	if classes := m.Require("classes", "the limits of each class that the owner may use"); classes != nil {
		e.classLimits(classes, spec)
	}
	e.spec.Owners = append(e.spec.Owners, catalogue.NewOwner(spec))
}

func (e *evaluator) classLimits(n *syntax.Node, owner catalogue.OwnerSpec) {
	m := syntax.ReadMapping(n, e.problems)
	defer m.Close()
	for _, class := range []catalogue.Class{catalogue.Interactive, catalogue.Batch} {
		c := m.Get(string(class))
		if c == nil {
			continue
		}
		l := e.limits(c)
		if exceeds(l, owner.Limits) {
			e.problems.AddAt(c, fmt.Sprintf("limits within the owner's rate %v and concurrency %d", owner.Limits.Rate(), owner.Limits.Concurrency()),
				fmt.Sprintf("rate %v and concurrency %d", l.Rate(), l.Concurrency()))
		}
		owner.ClassLimits[class] = l
	}
	if len(owner.ClassLimits) == 0 {
		e.problems.AddAt(n, "at least one class", "none")
	}
}

// exceeds reports whether l exceeds bound. Infinite bounds of l, which replace faulty
// ones, are not compared.
func exceeds(l, bound catalogue.Limits) bool {
	return (!math.IsInf(l.Rate(), 1) && l.Rate() > bound.Rate()) ||
		(l.Concurrency() != math.MaxInt && l.Concurrency() > bound.Concurrency())
}
