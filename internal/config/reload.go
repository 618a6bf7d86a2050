package config

import (
	"errors"
	"fmt"

	"github.com/tidwall/gjson"
)

// CheckReload checks settings that are reloaded on SIGHUP. The error names the key and the reason. At the start a
// missing key means its zero value. On a reload a missing key is taken as a sign of a broken or partially written
// file, and the whole file is rejected.
func CheckReload(raw []byte) error {
	if len(raw) == 0 || !gjson.ValidBytes(raw) {
		return errors.New("settings: missing, or not JSON")
	}
	top := gjson.ParseBytes(raw)
	positive := func(v gjson.Result, key string, whole bool) error {
		switch {
		case !v.Exists():
			return fmt.Errorf("%s: missing", key)
		case v.Type != gjson.Number || !(v.Float() > 0):
			return fmt.Errorf("%s: %s is not a positive number", key, v.Raw)
		case whole && v.Float() != float64(v.Int()):
			return fmt.Errorf("%s: %s is not a whole number", key, v.Raw)
		}
		return nil
	}
	if err := positive(top.Get("Limits.MaxAttempts"), "settings.Limits.MaxAttempts", true); err != nil {
		return err
	}
	for _, list := range []struct{ key, name string }{{"RequestClasses", "class"}, {"Plans", "plan"}} {
		items := top.Get(list.key)
		if !items.IsArray() || len(items.Array()) == 0 {
			return fmt.Errorf("settings.%s: missing or empty", list.key)
		}
		seen := map[string]bool{}
		for i, item := range items.Array() {
			at := fmt.Sprintf("settings.%s[%d]", list.key, i)
			name := item.Get("Name")
			if name.Type != gjson.String || name.String() == "" {
				return fmt.Errorf("%s.Name: missing", at)
			}
			if seen[name.String()] {
				return fmt.Errorf("%s.Name: the %s %q is named twice", at, list.name, name.String())
			}
			seen[name.String()] = true
			if list.key != "RequestClasses" {
				continue
			}
			for _, key := range []string{"HardLimit", "Aim"} {
				if err := positive(item.Get(key), at+"."+key, false); err != nil {
					return err
				}
			}
			if !item.Get("Repeat").Exists() {
				return fmt.Errorf("%s.Repeat: missing", at)
			}
		}
	}
	return nil
}
