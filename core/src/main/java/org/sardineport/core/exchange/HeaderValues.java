package org.sardineport.core.exchange;

import java.util.List;

/**
 * Access to the header fields of a request, independent of the HTTP library.
 */
@FunctionalInterface
public interface HeaderValues {

	/**
	 * Returns all values of a field.
	 * @param name the field's name, in any case
	 * @return the values in order, empty if there are none
	 */
	List<String> all(String name);

}
