package evaluate

import (
	"fmt"
	"math"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/catalogue/syntax"
)

// entry reads name, owner, class and limits; what is left out comes from the
// enclosing entry.
func (e *evaluator) entry(m *syntax.Mapping, enclosing catalogue.EntrySpec) catalogue.EntrySpec {
	spec := e.inherit(m, enclosing)
	spec.Name = syntax.Required(m, "name", syntax.Name)
	return spec
}

// inherit is entry for an entry whose name is not in the text.
func (e *evaluator) inherit(m *syntax.Mapping, enclosing catalogue.EntrySpec) catalogue.EntrySpec {
	spec := enclosing
	spec.Name = ""
	if n := m.Get("owner"); n != nil {
		spec.Owner = e.ownerName(n)
	} else if enclosing.Owner == "" {
		m.Require("owner", "the name of the owner, here or in an enclosing entry")
		spec.Owner = faulty
	}
	if n := m.Get("class"); n != nil {
		spec.Class = e.class(n)
	} else if enclosing.Class == "" {
		m.Require("class", classType.Expected()+", here or in an enclosing entry")
		spec.Class = faulty
	}
	if n := m.Get("limits"); n != nil {
		spec.Limits = e.limits(n)
	} else if enclosing.Limits == (catalogue.Limits{}) {
		m.Require("limits", "rate and concurrency, here or in an enclosing entry")
		spec.Limits = unbounded(catalogue.LimitsSpec{})
	}
	return spec
}

// faulty replaces an unreadable or missing value that entries inherit, so that its fault
// is reported once instead of once for each of those entries.
const faulty = "(faulty)"

func (e *evaluator) ownerName(n *syntax.Node) string {
	name, ok := syntax.Name.Value(n, e.problems)
	if !ok {
		return faulty
	}
	e.refer(n, &e.owners, name)
	return name
}

func (e *evaluator) class(n *syntax.Node) catalogue.Class {
	class, ok := classType.Value(n, e.problems)
	if !ok {
		return faulty
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
	return unbounded(spec)
}

// unbounded replaces an unreadable bound by one that no comparison fails with.
func unbounded(spec catalogue.LimitsSpec) catalogue.Limits {
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
	// An owner belongs to itself unless the text says otherwise.
	if name := m.Get("name"); name != nil && root.Owner == "" {
		root.Owner = name.Scalar()
	}
	spec := catalogue.OwnerSpec{EntrySpec: e.entry(m, root), ClassLimits: make(map[catalogue.Class]catalogue.Limits)}
	e.owners.declare(spec.Name, m.Get("name"))
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

// exceeds compares readable bounds only.
func exceeds(l, bound catalogue.Limits) bool {
	return (!math.IsInf(l.Rate(), 1) && l.Rate() > bound.Rate()) ||
		(l.Concurrency() != math.MaxInt && l.Concurrency() > bound.Concurrency())
}
