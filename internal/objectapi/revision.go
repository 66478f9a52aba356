package objectapi

import (
	"fmt"
	"strconv"

	"github.com/rotisserie/eris"
)

// Revision identifies a state of the store, and an object's Version is the revision of its last write.
// It consists of the store's era and of the number that the store gave the write within the era.
//
// An era ends when the store loses acknowledged writes and comes back from an older copy of itself.
// Numbers then go back and are given out again, so numbers of different eras say nothing about each
// other. Revisions are ordered by era first: any state of a newer era is newer than all of older ones.
// The era is in the high bits, so the operators of the language compare revisions correctly, and
// messages carry a revision as one integer.
//
// An object that the store restored from the copy keeps the number of its last write, but its revision
// has the era of the response that returned it.
type Revision uint64

// Era counts how often the store has come back from an older copy. A store without eras is in era zero.
type Era uint64

const (
	// numberBits is the size of the number within a revision; the remaining bits hold the era.
	numberBits = 48
	maxNumber  = 1<<numberBits - 1
	maxEra     = 1<<(64-numberBits) - 1
)

// NewRevision returns the revision of a number in an era. It returns an error if one of them is too
// large for a revision.
func NewRevision(era Era, number uint64) (Revision, error) {
	if era > maxEra || number > maxNumber {
		return 0, eris.Errorf("era %d or revision %d of the store is too large, want at most %d and %d", era, number, maxEra, maxNumber)
	}
	return Revision(uint64(era)<<numberBits | number), nil
}

// StartOf returns the lowest revision of an era.
func StartOf(era Era) Revision { return Revision(uint64(era) << numberBits) }

// ParseEra returns the era that a store names; an empty text means era zero.
func ParseEra(text string) (Era, error) {
	if text == "" {
		return 0, nil
	}
	era, err := strconv.ParseUint(text, 10, 64-numberBits)
	return Era(era), eris.Wrap(err, "parse the store's era")
}

// Era returns the store's era.
func (r Revision) Era() Era { return Era(r >> numberBits) }

// Number returns the number that the store gave the write within its era.
func (r Revision) Number() uint64 { return uint64(r) & maxNumber }

// String returns the number, preceded by the era unless that is zero.
func (r Revision) String() string {
	if r.Era() == 0 {
		return strconv.FormatUint(r.Number(), 10)
	}
	return fmt.Sprintf("%d/%d", r.Era(), r.Number())
}
