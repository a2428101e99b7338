#ifndef COLTSFOOTVANE_BASE_COPY_ON_WRITE_H_
#define COLTSFOOTVANE_BASE_COPY_ON_WRITE_H_

#include <memory>
#include <utility>

namespace coltsfootvane {

/// A value that copies share until one of them is edited. All copies belong to
/// one thread.
template <class T>
class CopyOnWrite {
 public:
  CopyOnWrite() = default;
  // Takes the place of a plain value.
  CopyOnWrite(T initial)  // NOLINT(google-explicit-constructor)
      : value(std::make_shared<T>(std::move(initial))) {}

  const T& operator*() const { return this->value ? *this->value : Empty(); }
  const T* operator->() const { return &**this; }

  /// Returns the value for changes that no other copy sees.
  T& Edit() {
    if (!this->value)
      this->value = std::make_shared<T>();
    else if (this->value.use_count() > 1)
      this->value = std::make_shared<T>(*this->value);
    return *this->value;
  }

  /// Returns whether the two are known to be equal.
  bool SharesWith(const CopyOnWrite& other) const {
    return this->value == other.value;
  }

 private:
  static const T& Empty() {
    static const T empty{};
    return empty;
  }

  std::shared_ptr<T> value;
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_BASE_COPY_ON_WRITE_H_
