package runner

import (
	"reflect"

	"github.com/foxtailhall/foxtailhall/state/loader"
)

// Reload takes newer settings. Addresses are bound at the start and keep their
// first values until the process starts again.
func (r *Runner) Reload(settings loader.Settings) {
	before := r.settings.Swap(&settings)
	changed := changedFields(*before, settings)
	r.deps.Log.Info("SettingsReloaded", "Changed", changed)
	r.deps.Meter.CountEvent("SettingsReloaded")
	r.requestRefresh()
}

// changedFields lists the names of the fields that differ.
func changedFields(before, after loader.Settings) []string {
	var names []string
	old, next := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range old.NumField() {
		if !reflect.DeepEqual(old.Field(i).Interface(), next.Field(i).Interface()) {
			names = append(names, old.Type().Field(i).Name)
		}
	}
	return names
}
