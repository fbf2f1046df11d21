// Package positioner decides from where a reader goes on in a log that may come back from
// an older copy. Such a log gives the offsets of the records that it lost out again, so that
// an offset means nothing without the era in which it was read.
package positioner

// Position is where the next read of a log begins. It is immutable. The zero value is no
// position: the newest records must be read first.
type Position struct {
	known  bool
	offset int64
	// era is that in which offset was read. The log's era rises when it comes back from an
	// older copy; it is 0 for a log that names none.
	era uint64
}

// New returns the position after the newest records were read, which ended before an offset.
func New(end int64, era uint64) Position { return Position{known: true, offset: end, era: era} }

// Offset returns the offset to read from, and reports whether there is one.
func (p Position) Offset() (offset int64, ok bool) { return p.offset, p.known }

// Era returns the era in which the offset was read, 0 without an offset.
func (p Position) Era() uint64 { return p.era }

// WithRead returns the position after a read from its offset whose records ended before
// next. A read in another era shows that records before the offset may be unread.
func (p Position) WithRead(next int64, era uint64) Position {
	if !p.known || era != p.era {
		return Position{}
	}
	p.offset = next
	return p
}
