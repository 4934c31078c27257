package catalogue

import "medlaryard.example/medlaryard/account"

// OwnerSpec holds the values that NewOwner takes.
type OwnerSpec struct {
	EntrySpec
	// ClassLimits are the limits of each class that the owner may use; requests of an absent class are refused.
	ClassLimits map[Class]Limits
	// KeyDigests are the digests of the API keys that identify the owner.
	KeyDigests []account.Digest
}

// Owner is a party that sends requests, with its limits per class.
type Owner struct {
	Entry
	spec OwnerSpec
}

// NewOwner returns the immutable Owner that spec describes.
func NewOwner(spec OwnerSpec) *Owner {
	return &Owner{Entry: NewEntry(spec.EntrySpec), spec: spec}
}

// ClassLimits are the limits of each class that the owner may use; requests of an absent class are refused.
func (o *Owner) ClassLimits() map[Class]Limits { return o.spec.ClassLimits }

// KeyDigests are the digests of the API keys that identify the owner.
func (o *Owner) KeyDigests() []account.Digest { return o.spec.KeyDigests }
