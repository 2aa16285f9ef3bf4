#include "replica.hpp"
