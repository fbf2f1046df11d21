// Package keeper decides when a value must be written to a store: when it has changed, and
// when the store has come back from an older copy, which may lack it.
package keeper

// Keeper tracks one value. It is immutable. The zero value has no value to write.
type Keeper struct {
	// value numbers the value that is to be kept, and kept is the number of the last one
	// that the store acknowledged; kept <= value.
	value, kept uint64
	// era is the latest era of the store that is known, and keptEra that in which it
	// acknowledged kept. The era rises when the store comes back from an older copy, and is
	// 0 while the store names none.
	era, keptEra uint64
}

// Value returns the number of the value that is to be kept.
func (k Keeper) Value() uint64 { return k.value }

// Due reports whether the value must be written.
func (k Keeper) Due() bool {
	return k.value != k.kept || k.value > 0 && k.keptEra < k.era
}

// WithValue returns the keeper with a new value to be kept.
func (k Keeper) WithValue() Keeper {
	k.value++
	return k
}

// WithEra returns the keeper once the store is known to be in an era.
func (k Keeper) WithEra(era uint64) Keeper {
	k.era = max(k.era, era)
	return k
}

// WithKept returns the keeper once the store, in an era, has acknowledged the value of a number.
func (k Keeper) WithKept(value, era uint64) Keeper {
	k = k.WithEra(era)
	if era == 0 {
		era = k.era
	}
	if value < k.kept || value == k.kept && era < k.keptEra {
		return k
	}
	k.kept, k.keptEra = value, era
	return k
}
