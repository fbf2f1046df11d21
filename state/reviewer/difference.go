package reviewer

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"reflect"
	"slices"

	"github.com/foxtailhall/foxtailhall/state/cataloger"
)

// Change is how an object, or an entry of one of its lists, differs between two configurations.
type Change string

// Changes.
const (
	ChangeAdded   Change = "Added"
	ChangeRemoved Change = "Removed"
	ChangeChanged Change = "Changed"
)

// Difference is a difference between two configurations.
type Difference struct {
	// Object is the object's kind and name, as "Route/name".
	Object string `json:"Object"`
	Change Change `json:"Change"`
	// Field is empty if the whole object was added or removed.
	Field string `json:"Field,omitempty"`
	// Old and New are the values of the field; keys of customers are given by their fingerprints.
	Old string `json:"Old,omitempty"`
	New string `json:"New,omitempty"`
}

// String returns the difference in one line.
func (d Difference) String() string {
	switch {
	case d.Field == "":
		return fmt.Sprintf("%s: %s", d.Object, d.Change)
	case d.Change == ChangeChanged:
		return fmt.Sprintf("%s: %s: %s -> %s", d.Object, d.Field, d.Old, d.New)
	}
	return fmt.Sprintf("%s: %s: %s %s", d.Object, d.Field, d.Change, d.Old+d.New)
}

// fingerprintBytes is the length of fingerprints, which tell the keys of a deployment apart and don't reveal them.
const fingerprintBytes = 6

// Fingerprint returns a text that identifies a key without revealing it.
func Fingerprint(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:fingerprintBytes])
}

// Differences returns what a candidate changes of the configuration in force, sorted by object.
func Differences(inForce, candidate cataloger.Catalog) []Difference {
	before, after := objectsByKey(inForce), objectsByKey(candidate)
	keys := make([]cataloger.Key, 0, len(after))
	for key := range after {
		keys = append(keys, key)
	}
	for key := range before {
		if after[key] == nil {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b cataloger.Key) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name)) })
	var differences []Difference
	for _, key := range keys {
		switch {
		case before[key] == nil:
			differences = append(differences, Difference{Object: key.String(), Change: ChangeAdded})
		case after[key] == nil:
			differences = append(differences, Difference{Object: key.String(), Change: ChangeRemoved})
		default:
			differences = append(differences, fieldDifferences(key, before[key], after[key])...)
		}
	}
	return differences
}

// objectsByKey returns all objects of a catalog. The limits have no name, since there is only one such object, and
// are the default ones if there is none.
func objectsByKey(catalog cataloger.Catalog) map[cataloger.Key]any {
	objects := catalog.Objects()
	byKey := make(map[cataloger.Key]any, objects.Len()+1)
	for _, service := range objects.Services {
		byKey[cataloger.Key{Kind: cataloger.KindService, Name: service.Name}] = service
	}
	for _, server := range objects.Servers {
		byKey[cataloger.Key{Kind: cataloger.KindBackendServer, Name: server.Name}] = server
	}
	for _, route := range objects.Routes {
		byKey[cataloger.Key{Kind: cataloger.KindRoute, Name: route.Name}] = route
	}
	for _, policy := range objects.Policies {
		byKey[cataloger.Key{Kind: cataloger.KindPolicy, Name: policy.Name}] = policy
	}
	for _, customer := range objects.Customers {
		byKey[cataloger.Key{Kind: cataloger.KindCustomer, Name: customer.Name}] = customer
	}
	limits := catalog.Limits()
	limits.Name = ""
	byKey[cataloger.Key{Kind: cataloger.KindLimits}] = limits
	return byKey
}

// fieldDifferences compares the fields of two objects of the same kind.
func fieldDifferences(key cataloger.Key, before, after any) []Difference {
	var differences []Difference
	oldValue, newValue := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range oldValue.NumField() {
		name := oldValue.Type().Field(i).Name
		if customer, ok := before.(cataloger.Customer); ok && name == "Keys" {
			differences = append(differences, keyDifferences(key, customer.Keys, after.(cataloger.Customer).Keys)...)
			continue
		}
		oldField, newField := oldValue.Field(i), newValue.Field(i)
		if oldField.Kind() == reflect.Slice && oldField.Len() == 0 && newField.Len() == 0 {
			continue
		}
		if !reflect.DeepEqual(oldField.Interface(), newField.Interface()) {
			differences = append(differences, Difference{
				Object: key.String(), Change: ChangeChanged, Field: name,
				Old: fmt.Sprintf("%+v", oldField.Interface()), New: fmt.Sprintf("%+v", newField.Interface()),
			})
		}
	}
	return differences
}

// keyDifferences compares the keys of a customer, whose order has no meaning.
func keyDifferences(customer cataloger.Key, before, after []string) []Difference {
	var differences []Difference
	for _, key := range before {
		if !slices.Contains(after, key) {
			differences = append(differences, Difference{
				Object: customer.String(), Change: ChangeRemoved, Field: "Keys", Old: Fingerprint(key),
			})
		}
	}
	for _, key := range after {
		if !slices.Contains(before, key) {
			differences = append(differences, Difference{
				Object: customer.String(), Change: ChangeAdded, Field: "Keys", New: Fingerprint(key),
			})
		}
	}
	return differences
}
